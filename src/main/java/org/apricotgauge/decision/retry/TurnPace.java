package org.apricotgauge.decision.retry;

/**
 * Decides when the first of the waiting requests looks for a retry by itself.
 *
 * <p>No guard is known to have one, and each look costs a hop. The interval doubles while looks
 * fail and starts over with the first that succeeds. Not thread-safe.
 */
public final class TurnPace {
    private static final long MIN_MILLIS = 50;
    private static final long MAX_MILLIS = 800;

    private long mIntervalMillis = MIN_MILLIS;
    private long mNextMillis = Long.MIN_VALUE;

    /** Returns whether a request may look now, and counts the look if so. */
    public boolean tryLook(long nowMillis) {
        if (nowMillis < mNextMillis) {
            return false;
        }
        mNextMillis = nowMillis + mIntervalMillis;
        return true;
    }

    /** Records that a guard had no retry left. */
    public void onNoRetry(long nowMillis) {
        mIntervalMillis = Math.min(MAX_MILLIS, 2 * mIntervalMillis);
        mNextMillis = nowMillis + mIntervalMillis;
    }

    /** Records that a retry was sent. */
    public void onRetry() {
        mIntervalMillis = MIN_MILLIS;
    }
}
