package org.apricotgauge.decision.detection;

/** Where on its way a request was observed. */
public enum ObservationPoint {
    /** Beside the target: the path from the entry is not part of what was seen. */
    GUARD,
    /** At the node that the caller connected to: the path to the target is included. */
    ENTRY
}
