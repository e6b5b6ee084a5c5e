package org.apricotgauge.decision.ratelimit;

import org.apricotgauge.model.Checks;

/**
 * The tokens granted in response to a request.
 *
 * @param granted number of tokens that the requester may use now
 * @param retryAfterMillis time until a token is available to those that got none, in milliseconds;
 *     0 if all got one
 */
public record TokenGrant(int granted, long retryAfterMillis) {
    /** Validates the components. */
    public TokenGrant {
        Checks.inRange("grant.granted", granted, 0, Integer.MAX_VALUE);
        Checks.inRange("grant.retryAfterMillis", retryAfterMillis, 0, Long.MAX_VALUE);
    }
}
