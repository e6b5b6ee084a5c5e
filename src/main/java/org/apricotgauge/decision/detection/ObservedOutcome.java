package org.apricotgauge.decision.detection;

/** How an observed request ended. */
public enum ObservedOutcome {
    /** A whole answer that is not an error of the target. */
    SUCCESS,
    /** The target answered with an error of its own (5xx other than 503), or a broken answer. */
    TARGET_ERROR,
    /** No answer in time; at the entry it may be the path's fault as well as the target's. */
    TIMEOUT,
    /**
     * Still running after {@link ServiceDetector#unresponsiveAfterMicros}; observed once, and not
     * again when it ends.
     */
    UNRESPONSIVE,
    /** The target refused the request for load (503): load, never sickness. */
    SHED,
    /** The path failed: refused or silent connection, no acknowledgement from the guard. */
    PATH_FAULT,
    /** The caller gave up; it says nothing about the target. */
    CANCELLED
}
