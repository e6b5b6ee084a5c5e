package org.apricotgauge.decision.detection;

/** How an observed request ended. */
public enum ObservedOutcome {
    /** A complete answer that is not an error of the target. */
    SUCCESS,
    /** The target answered with an error of its own (5xx other than 503), or a broken answer. */
    TARGET_ERROR,
    /** No answer in time; at the entry, the target or the path to it may have failed. */
    TIMEOUT,
    /**
     * Still running after {@link ServiceDetector#unresponsiveAfterMicros}; observed once, and not
     * again when it ends.
     */
    UNRESPONSIVE,
    /** The target shed the request (503), a sign of load and never of degradation. */
    SHED,
    /** The path failed: refused or unresponsive connection, no acknowledgement from the guard. */
    PATH_FAULT,
    /** The caller cancelled the request, which is no evidence about the target. */
    CANCELLED
}
