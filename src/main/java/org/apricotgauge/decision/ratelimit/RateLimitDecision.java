package org.apricotgauge.decision.ratelimit;

/** The decision whether a request is allowed by the rate limit of its member. */
public sealed interface RateLimitDecision {
    /** The limit allows the request. */
    RateLimitDecision GRANTED = new Granted();

    /** No node that counts the member's tokens could be reached. */
    RateLimitDecision UNKNOWN = new Unknown();

    /** The request may run. */
    record Granted() implements RateLimitDecision {}

    /**
     * The member has exceeded its limit.
     *
     * @param retryAfterMillis time until a token is available, in milliseconds
     */
    record Refused(long retryAfterMillis) implements RateLimitDecision {}

    /** No node that counts the member's tokens responds. */
    record Unknown() implements RateLimitDecision {}
}
