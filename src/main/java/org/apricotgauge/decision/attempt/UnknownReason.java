package org.apricotgauge.decision.attempt;

/** Reason why the outcome of a request is unknown. */
public enum UnknownReason {
    /** The target may have started, and the guard could not be reached to fence the attempt. */
    GUARD_UNREACHABLE,
    /** The target had started, and its answer was lost or incomplete. */
    STARTED,
    /** The target had answered, and the answer was lost in transit. */
    ANSWER_LOST,
    /** The guard restarted or no longer has a record of the attempt. */
    FORGOTTEN,
    /** The request was written to a target that has no guard, and no answer arrived. */
    NO_GUARD,
    /** A request with the same Idempotency-Key is still running. */
    KEY_RUNNING,
    /** The target crashed, as others did under the same request, which is now quarantined. */
    QUARANTINED,
    /** The last attempt did not run, but an earlier one may have run, or ran without success. */
    EARLIER_ATTEMPT
}
