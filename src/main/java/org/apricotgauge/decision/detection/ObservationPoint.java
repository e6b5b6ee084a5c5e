package org.apricotgauge.decision.detection;

/** The point on a request's path at which it was observed. */
public enum ObservationPoint {
    /** At the guard beside the target; the path from the entry is not included. */
    GUARD,
    /** At the node that the caller connected to; the path to the target is included. */
    ENTRY
}
