package org.apricotgauge.decision.detection;

/** The state of a target as decided by detection. */
public enum VerdictState {
    /** The evidence is below half the threshold. */
    HEALTHY,
    /**
     * The evidence is at least half the threshold; if it has reached the threshold, only the floor
     * keeps the target in service.
     */
    SUSPECT,
    /** Gets no requests until its ejection time is over. */
    EJECTED,
    /** Gets only a few idempotent requests as probes. */
    READMITTING
}
