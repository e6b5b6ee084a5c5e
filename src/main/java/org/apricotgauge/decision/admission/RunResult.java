package org.apricotgauge.decision.admission;

/** How an admitted request ended at the target. */
public enum RunResult {
    /** The target answered it. */
    ANSWERED,
    /** The target refused it for want of a slot (503): others use its slots too. */
    SHED,
    /** The target failed, or its connection broke. */
    FAILED,
    /** It was given up before the target ended; its service time tells nothing. */
    CANCELLED,
    /** No byte of it was written to the target. */
    UNSENT
}
