package org.apricotgauge.decision.admission;

/** How an admitted request ended at the target. */
public enum RunResult {
    /** The target answered. */
    ANSWERED,
    /** The target had no free slot and rejected it (503): other callers use its slots as well. */
    SHED,
    /** The target failed, or its connection broke. */
    FAILED,
    /** The run was abandoned before the target ended; its service time is meaningless. */
    CANCELLED,
    /** No byte of the request was written to the target. */
    UNSENT
}
