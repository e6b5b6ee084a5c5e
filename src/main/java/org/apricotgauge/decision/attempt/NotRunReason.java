package org.apricotgauge.decision.attempt;

/** Evidence that a request did not run at its target. */
public enum NotRunReason {
    /** No byte of the request was written to any connection. */
    NEVER_SENT,
    /** The guard's queue was full, and the requests in it took precedence. */
    QUEUE_FULL,
    /** The target had no free slot, and another target may have one. */
    BUSY,
    /** The request could not have been served before its deadline. */
    DEADLINE_TOO_SHORT,
    /** The deadline passed while the request waited for a slot. */
    DEADLINE_PASSED,
    /** The caller cancelled the request while it waited for a slot. */
    CANCELLED,
    /** The guard fenced the attempt before its first byte was sent to the target. */
    FENCED,
    /**
     * The attempt was addressed to an earlier incarnation of the guard; the current one refused.
     */
    GUARD_RESTARTED,
    /** The guard could not connect to the target. */
    TARGET_UNREACHABLE,
    /** The target shed the request and reported that it did not run it. */
    TARGET_SHED,
    /** The target is suspect, and the request's target restriction excludes it. */
    TARGET_SUSPECT,
    /** The attempt was a retry, and the service's retry budget is exhausted. */
    RETRIES_SPENT,
    /** The address now belongs to another target, which did not run the request. */
    TARGET_REPLACED,
    /** The request crashed targets that ran it, and is quarantined. */
    QUARANTINED,
    /** The request may be a quarantined one, and its body was not read in time to decide. */
    BODY_UNREAD,
    /** The older routing system, to which the request is assigned, accepted no connection. */
    PREDECESSOR_UNREACHABLE,
    /** The guard is stopping and accepts no new work. */
    LEAVING,
    /** The target is leaving or removed, and receives no new work. */
    TARGET_LEAVING,
    /** The node's state was not confirmed for too long, or not since the process was paused. */
    STATE_UNCONFIRMED,
    /** The guard that owns the Idempotency-Key restarted too recently to know earlier uses. */
    KEY_HISTORY_UNKNOWN,
    /** The node that owns the Idempotency-Key is unreachable from the entry. */
    KEY_HOME_UNREACHABLE,
    /** The member exceeded its rate limit. */
    OVER_LIMIT,
    /** The member has a rate limit, and no node that counts its requests could be reached. */
    LIMIT_UNKNOWN,
    /** The guard has no space to record another attempt or key. */
    LEDGER_FULL
}
