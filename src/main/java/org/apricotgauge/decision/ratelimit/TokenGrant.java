package org.apricotgauge.decision.ratelimit;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.RateLimit;

/**
 * The tokens granted in response to a request.
 *
 * @param granted number of tokens that the requester may use now
 * @param retryAfterMillis time until a token is available to the first that got none, in
 *     milliseconds; 0 if all got one
 */
public record TokenGrant(int granted, long retryAfterMillis) {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Validates the components. */
    public TokenGrant {
        Checks.inRange("grant.granted", granted, 0, Integer.MAX_VALUE);
        Checks.inRange("grant.retryAfterMillis", retryAfterMillis, 0, Long.MAX_VALUE);
    }

    /**
     * Returns the time until a token is available to one of those that got none, in milliseconds.
     *
     * @param refusedBefore how many of those that got none come before it
     */
    long retryAfterMillis(RateLimit limit, int refusedBefore) {
        double laterMillis = refusedBefore * MILLIS_PER_SECOND / limit.requestsPerSecond();
        long latestMillis = Math.max(retryAfterMillis, MemberTokenBuckets.MAX_RETRY_AFTER_MILLIS);
        return Math.max(1, Math.min(latestMillis, retryAfterMillis + (long) laterMillis));
    }
}
