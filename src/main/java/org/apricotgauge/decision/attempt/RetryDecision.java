package org.apricotgauge.decision.attempt;

/** Next step of an entry after an attempt has ended. */
public sealed interface RetryDecision {

    /** Sends a new attempt to any target, or to the key's owner if the request has a key. */
    record Retry() implements RetryDecision {}

    /**
     * Sends a new attempt with the same key to the same incarnation of the same guard, whose record
     * of the key prevents a second run. The attempt must be created with {@link Attempt#withId}
     * from the first attempt that may have run.
     */
    record RetryAtSameGuard() implements RetryDecision {}

    /**
     * Reports the outcome to the caller at once.
     *
     * @param outcome the submission's final outcome
     */
    record Finish(Outcome outcome) implements RetryDecision {}
}
