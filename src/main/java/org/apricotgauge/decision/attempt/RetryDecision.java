package org.apricotgauge.decision.attempt;

/** What an entry does once an attempt has ended. */
public sealed interface RetryDecision {

    /** Sends a new attempt; any target will do unless the request has a key. */
    record Retry() implements RetryDecision {}

    /**
     * Sends a new attempt with the same key to the same run of the same guard, whose memory of the
     * key keeps it from running twice; address it with {@link Attempt#withId} of the first attempt
     * that may have run.
     */
    record RetryAtSameGuard() implements RetryDecision {}

    /**
     * Tells the caller at once.
     *
     * @param outcome the submission's final outcome
     */
    record Finish(Outcome outcome) implements RetryDecision {}
}
