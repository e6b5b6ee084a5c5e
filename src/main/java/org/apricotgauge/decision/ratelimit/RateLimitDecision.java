package org.apricotgauge.decision.ratelimit;

/** Whether a request may run, by its member's limit. */
public sealed interface RateLimitDecision {
    /** It may. */
    RateLimitDecision GRANTED = new Granted();

    /** Nobody who counts the member's requests could be asked. */
    RateLimitDecision UNKNOWN = new Unknown();

    /** It may run. */
    record Granted() implements RateLimitDecision {}

    /**
     * The member has asked for more than its limit.
     *
     * @param retryAfterMillis when a token will be there, in milliseconds
     */
    record Refused(long retryAfterMillis) implements RateLimitDecision {}

    /** Nobody who counts the member's requests answers. */
    record Unknown() implements RateLimitDecision {}
}
