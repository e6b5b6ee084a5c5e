package org.apricotgauge.decision.admission;

import org.apricotgauge.model.Checks;

/**
 * Spaces the starts of requests so that a target gets no more in a second than it takes.
 *
 * <pre>{@code
 * pace.limit(2.5, nowMillis);
 * if (pace.tryStart(nowMillis)) {
 *     send();
 * }
 * }</pre>
 *
 * <p>A token bucket that starts empty and holds an eighth of a second's worth, so that a target in
 * need gets no burst. Not thread-safe. Times are readings of one monotonic clock in milliseconds.
 */
public final class StartRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private static final double BURST_SECONDS = 0.125;

    private boolean mIsLimited;
    private double mTokensPerMilli;
    private double mMaxTokens;
    private double mTokens;
    private long mRefilledAtMillis;

    /** Creates a pace without a limit. */
    public StartRateLimiter() {}

    /**
     * Keeps to a limit from now on.
     *
     * @param perSecond starts in a second, more than 0
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

    /** Keeps to no limit any more. */
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

    /** Counts a request that starts, if it may; returns whether it may. */
    public boolean tryStart(long nowMillis) {
        if (!mayStart(nowMillis)) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /** Takes back a start of which the target heard nothing. */
    public void returnToken() {
        mTokens = Math.min(mMaxTokens, mTokens + 1);
    }

    /**
     * Returns how long a request waits, in milliseconds; 0 without a limit.
     *
     * @param starts starts up to its own
     */
    double waitMillis(double starts, long nowMillis) {
        if (!mIsLimited) {
            return 0;
        }
        refill(nowMillis);
        return Math.max(0, starts - mTokens) / mTokensPerMilli;
    }

    private void refill(long nowMillis) {
        // Readings of several threads may come in another order than they were taken.
        long passedMillis = Math.max(0, nowMillis - mRefilledAtMillis);
        mTokens = Math.min(mMaxTokens, mTokens + passedMillis * mTokensPerMilli);
        mRefilledAtMillis += passedMillis;
    }
}
