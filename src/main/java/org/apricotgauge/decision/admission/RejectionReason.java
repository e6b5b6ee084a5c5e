package org.apricotgauge.decision.admission;

/** Why a request gets no slot. */
public enum RejectionReason {
    /** It could not have been served before its deadline. */
    DEADLINE_TOO_SHORT,
    /** No slot was free, and it must not wait. */
    BUSY,
    /** Its deadline came too near while it waited. */
    DEADLINE_PASSED,
    /** The queue was full, and others had a better claim to its places. */
    QUEUE_FULL
}
