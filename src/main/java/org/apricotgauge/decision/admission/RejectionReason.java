package org.apricotgauge.decision.admission;

/** Why a request is rejected. */
public enum RejectionReason {
    /** The request cannot be served before its deadline. */
    DEADLINE_TOO_SHORT,
    /** No slot is free, and the request must not wait for one. */
    BUSY,
    /** While the request was queued, too little time was left to serve it by its deadline. */
    DEADLINE_PASSED,
    /** The queue is full, and the other requests take precedence. */
    QUEUE_FULL
}
