package org.apricotgauge.decision.attempt;

/** What a guard does with a submission that carries an Idempotency-Key. */
public sealed interface KeyDecision {

    /** The first one: it may run; the ledger must be told how it ends. */
    record Execute() implements KeyDecision {}

    /** An earlier submission is running now: 409 with Retry-After; this one does not run. */
    record InProgress() implements KeyDecision {}

    /**
     * An earlier submission was answered: give its answer again, or 409 if the body was not kept.
     *
     * @param answer what was kept
     */
    record Replay(StoredAnswer answer) implements KeyDecision {}

    /** An earlier submission started and its answer was lost: outcome unknown, never run again. */
    record OutcomeUnknown() implements KeyDecision {}

    /** The key was used for another request: 422, this one does not run. */
    record Conflict() implements KeyDecision {}

    /**
     * The guard has not held the key's home for long enough to know: 503, not run.
     *
     * @param retryAfterMillis when it will know
     */
    record HistoryUnknown(long retryAfterMillis) implements KeyDecision {}

    /**
     * No room to remember one more key: 503, not run.
     *
     * @param retryAfterMillis when the oldest key is forgotten
     */
    record LedgerFull(long retryAfterMillis) implements KeyDecision {}
}
