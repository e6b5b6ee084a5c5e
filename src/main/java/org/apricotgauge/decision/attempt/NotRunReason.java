package org.apricotgauge.decision.attempt;

/** The evidence that a request did not reach its target. */
public enum NotRunReason {
    /** No byte of it was written to any connection. */
    NEVER_SENT,
    /** The guard's queue was full, and others had a better claim to its places. */
    QUEUE_FULL,
    /** No slot was free at the target, and others may have one. */
    BUSY,
    /** It could not have been served before its deadline. */
    DEADLINE_TOO_SHORT,
    /** Its deadline passed while it waited for a slot. */
    DEADLINE_PASSED,
    /** The caller cancelled it while it waited for a slot. */
    CANCELLED,
    /** The guard fenced it before the first byte went to the target. */
    FENCED,
    /** It was addressed to an earlier incarnation of the guard, and the present one refused it. */
    GUARD_RESTARTED,
    /** The guard could not connect to the target. */
    TARGET_UNREACHABLE,
    /** The target refused it for load and said that it did not run it. */
    TARGET_SHED,
    /** The target may be in a sick spell, and the request must not take the risk. */
    TARGET_SUSPECT,
    /** It was sent before, and the service has no more retries left for now. */
    RETRIES_SPENT,
    /** Another target has the address by now, and did not run it. */
    TARGET_REPLACED,
    /** It crashed targets that ran it, and is kept from all others for a while. */
    QUARANTINED,
    /** It may be one that crashes targets, and its body was not known in time to tell. */
    BODY_UNREAD,
    /** The older routing system, whose share it falls into, took no connection. */
    PREDECESSOR_UNREACHABLE,
    /** The guard is stopping, and takes no new work. */
    LEAVING,
    /** The target is leaving or gone, and gets no new work. */
    TARGET_LEAVING,
    /** The node has not heard for too long, or not since a pause, that what it knows holds. */
    STATE_UNCONFIRMED,
    /** The guard of its Idempotency-Key restarted too lately to know whether the key was used. */
    KEY_HISTORY_UNKNOWN,
    /** The node that would remember its Idempotency-Key is not to be seen from here. */
    KEY_HOME_UNREACHABLE,
    /** Its member has asked for more than its limit. */
    OVER_LIMIT,
    /** Its member has a limit, and no node that counts its requests could be asked. */
    LIMIT_UNKNOWN,
    /** The guard has no room to remember one more attempt or key. */
    LEDGER_FULL
}
