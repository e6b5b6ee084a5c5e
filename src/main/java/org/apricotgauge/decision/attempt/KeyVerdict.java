package org.apricotgauge.decision.attempt;

/** What a guard does with a submission that carries an Idempotency-Key. */
public sealed interface KeyVerdict {

    /** The first one: it may run; the ledger must be told how it ends. */
    record Run() implements KeyVerdict {}

    /** An earlier submission is running now: 409 with Retry-After; this one does not run. */
    record Running() implements KeyVerdict {}

    /**
     * An earlier submission was answered: give its answer again, or 409 if the body was not kept.
     *
     * @param answer what was kept
     */
    record Done(StoredAnswer answer) implements KeyVerdict {}

    /** An earlier submission started and its answer was lost: outcome unknown, never run again. */
    record Uncertain() implements KeyVerdict {}

    /** The key was used for another request: 422, this one does not run. */
    record Conflict() implements KeyVerdict {}

    /**
     * The guard has not held the key's home for long enough to know: 503, not run.
     *
     * @param retryAfterMillis when it will know
     */
    record HistoryUnknown(long retryAfterMillis) implements KeyVerdict {}

    /**
     * No room to remember one more key: 503, not run.
     *
     * @param retryAfterMillis when the oldest key is forgotten
     */
    record Full(long retryAfterMillis) implements KeyVerdict {}
}
