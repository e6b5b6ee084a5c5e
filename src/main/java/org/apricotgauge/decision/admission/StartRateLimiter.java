package org.apricotgauge.decision.admission;

import org.apricotgauge.model.Checks;

/**
 * Limits the rate at which requests are started at a target.
 *
 * <pre>{@code
 * limiter.setLimit(2.5, nowMillis);
 * if (limiter.tryStart(nowMillis)) {
 *     send();
 * }
 * }</pre>
 *
 * <p>A token bucket that starts empty and holds the tokens of an eighth of a second, but at least
 * one, so that an overloaded target receives no burst. Not thread-safe. Times are readings of one
 * monotonic clock in milliseconds.
 */
public final class StartRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private static final double BURST_SECONDS = 0.125;

    private boolean mIsLimited;
    private double mTokensPerMilli;
    private double mMaxTokens;
    private double mTokens;
    private long mRefilledAtMillis;

    /** Creates a limiter without a limit. */
    public StartRateLimiter() {}

    /**
     * Sets the limit. Without a previous limit, the bucket starts empty.
     *
     * @param perSecond starts per second, greater than 0
     */
    public void setLimit(double perSecond, long nowMillis) {
        Checks.inRange("perSecond", perSecond, Double.MIN_NORMAL, Double.MAX_VALUE);
        if (mIsLimited) {
            refill(nowMillis);
        } else {
            mTokens = 0;
            mRefilledAtMillis = nowMillis;
        }
        mIsLimited = true;
        mTokensPerMilli = perSecond / MILLIS_PER_SECOND;
        mMaxTokens = Math.max(1, perSecond * BURST_SECONDS);
        mTokens = Math.min(mTokens, mMaxTokens);
    }

    /** Removes the limit. */
    public void removeLimit() {
        mIsLimited = false;
    }

    /** Returns whether a request may start now. */
    public boolean mayStart(long nowMillis) {
        if (!mIsLimited) {
            return true;
        }
        refill(nowMillis);
        return mTokens >= 1;
    }

    /** Takes a token for a request that starts; returns false if there is none. */
    public boolean tryStart(long nowMillis) {
        if (!mayStart(nowMillis)) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Returns the token of a request that was never sent to the target. */
    public void returnToken() {
        mTokens = Math.min(mMaxTokens, mTokens + 1);
    }

    /**
     * Returns how long a request must wait for its token, in milliseconds; 0 without a limit.
     *
     * @param starts number of starts up to and including its own
     */
    double waitMillis(double starts, long nowMillis) {
        if (!mIsLimited) {
            return 0;
        }
        refill(nowMillis);
        return Math.max(0, starts - mTokens) / mTokensPerMilli;
    }

    private void refill(long nowMillis) {
        // Clock readings of several threads may arrive out of order.
        long elapsedMillis = Math.max(0, nowMillis - mRefilledAtMillis);
        mTokens = Math.min(mMaxTokens, mTokens + elapsedMillis * mTokensPerMilli);
        mRefilledAtMillis += elapsedMillis;
    }
}
