package org.apricotgauge.decision.attempt;

/** Why nothing better than "unknown" can be told. */
public enum UnknownReason {
    /** The target may have begun, and the guard could not be reached to fence the attempt. */
    GUARD_UNREACHABLE,
    /** The target had begun, and its answer was lost or broken. */
    STARTED,
    /** The target had ended, and its answer was lost on the way back. */
    ANSWER_LOST,
    /** The guard restarted or no longer remembers the attempt. */
    FORGOTTEN,
    /** It was written to a target that has no guard, and no answer came. */
    NO_GUARD,
    /** The same Idempotency-Key is running now. */
    KEY_RUNNING,
    /** Its target crashed, as others did under the same request; it is kept from all others. */
    QUARANTINED,
    /** The last attempt did not run, but an earlier one may have, or did without success. */
    EARLIER_ATTEMPT
}
