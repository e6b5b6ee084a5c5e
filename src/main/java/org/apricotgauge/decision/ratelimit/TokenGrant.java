package org.apricotgauge.decision.ratelimit;

import org.apricotgauge.model.Checks;

/**
 * What a lender says to a question for tokens.
 *
 * @param granted tokens that the asker may use now
 * @param retryAfterMillis when a token will be there for those that got none, in milliseconds; 0 if
 *     all got one
 */
public record TokenGrant(int granted, long retryAfterMillis) {
    /** Checks the parts. */
    public TokenGrant {
        Checks.inRange("answer.granted", granted, 0, Integer.MAX_VALUE);
        Checks.inRange("answer.retryAfterMillis", retryAfterMillis, 0, Long.MAX_VALUE);
    }
}
