package org.apricotgauge.decision.attempt;

/** Decision of an {@link IdempotencyLedger} on a submission with an Idempotency-Key. */
public sealed interface KeyDecision {

    /** First submission: it may run, and its end must be reported to the ledger. */
    record Execute() implements KeyDecision {}

    /** An earlier submission is running: answer 409 with Retry-After; this one does not run. */
    record InProgress() implements KeyDecision {}

    /**
     * An earlier submission was answered: replay its answer, or answer 409 if the body was not
     * kept.
     *
     * @param answer stored answer
     */
    record Replay(StoredAnswer answer) implements KeyDecision {}

    /** An earlier submission started and its answer was lost: outcome unknown, never run again. */
    record OutcomeUnknown() implements KeyDecision {}

    /** The key was used for another request: answer 422; this one does not run. */
    record Conflict() implements KeyDecision {}

    /**
     * The guard has not owned the key for the whole retention, so an earlier submission may be
     * unknown to it: answer 503, not run.
     *
     * @param retryAfterMillis time until the history is known
     */
    record HistoryUnknown(long retryAfterMillis) implements KeyDecision {}

    /**
     * The ledger has no space for another key: answer 503, not run.
     *
     * @param retryAfterMillis time until the oldest key expires
     */
    record LedgerFull(long retryAfterMillis) implements KeyDecision {}
}
