package org.apricotgauge.decision.detection;

/** Whether a configured target can take requests, regardless of detection. */
public enum TargetPresence {
    /** Takes full load. */
    PRESENT,
    /** In its cold start; its slots don't count as in service for the floor. */
    RAMPING,
    /** Draining; takes no new requests. */
    LEAVING,
    /** Terminated. */
    TERMINATED
}
