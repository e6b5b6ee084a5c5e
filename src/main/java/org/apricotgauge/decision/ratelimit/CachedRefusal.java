package org.apricotgauge.decision.ratelimit;

import org.apricotgauge.model.RateLimit;

/**
 * A refusal that also applies to the callers that follow within a short time, so that not each of
 * them costs a request. Each gets the time of a token of its own. Not thread-safe.
 */
final class CachedRefusal {
    /** How long a refusal is reused, in milliseconds. */
    static final long LIFETIME_MILLIS = 50;

    private final RateLimit mLimit;
    private final TokenGrant mGrant;
    private final long mRefusedMillis;
    private int mRefusals;

    CachedRefusal(RateLimit limit, TokenGrant grant, long nowMillis) {
        mLimit = limit;
        mGrant = grant;
        mRefusedMillis = nowMillis;
    }

    boolean isValid(long nowMillis) {
        long lifetimeMillis = Math.min(LIFETIME_MILLIS, mGrant.retryAfterMillis());
        return nowMillis - mRefusedMillis < lifetimeMillis;
    }

    /** Returns the decision on the next caller. */
    RateLimitDecision next(long nowMillis) {
        long retryAfterMillis = mGrant.retryAfterMillis(mLimit, mRefusals++);
        long elapsedMillis = nowMillis - mRefusedMillis;
        return new RateLimitDecision.Refused(Math.max(1, retryAfterMillis - elapsedMillis));
    }
}
