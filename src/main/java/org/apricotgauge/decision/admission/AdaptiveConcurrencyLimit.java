package org.apricotgauge.decision.admission;

/**
 * How many requests the target gets at once: its slots less those that others use unseen.
 *
 * <p>Another system may serve the same target. Each slot that it takes shows as a shed request
 * (503), or, if the target queues instead, as a longer service time. The limit steps down on
 * either, and tries one more after a wait that doubles while the tries fail.
 */
final class AdaptiveConcurrencyLimit {
    private static final long MIN_GROWTH_DELAY_MILLIS = 50;
    private static final long MAX_GROWTH_DELAY_MILLIS = 800;
    private static final double SLOW_INFLATION = 1.5;

    private final int mSlots;
    private int mLimit;
    private long mGrowthDelayMillis = MIN_GROWTH_DELAY_MILLIS;
    private long mNextGrowthMillis = Long.MIN_VALUE;
    private long mChangedAtMillis = Long.MIN_VALUE;
    private int mAnsweredSinceChange;
    private boolean mLastChangeWasGrowth;

    AdaptiveConcurrencyLimit(int slots) {
        mSlots = slots;
        mLimit = slots;
    }

    int get() {
        return mLimit;
    }

    /** Takes in a shed request that was admitted at the given time. */
    void onShed(long admittedAtMillis, long nowMillis) {
        // Requests admitted before the last step say nothing about the present limit; without this
        // one busy moment of the target would take the limit from seven to nothing.
        if (admittedAtMillis < mChangedAtMillis) {
            return;
        }
        boolean growthFailed = mAnsweredSinceChange < mSlots;
        mGrowthDelayMillis =
                growthFailed
                        ? Math.min(MAX_GROWTH_DELAY_MILLIS, mGrowthDelayMillis * 2)
                        : MIN_GROWTH_DELAY_MILLIS;
        change(Math.max(0, mLimit - 1), nowMillis);
    }

    /** Takes in an answered request; the limit can grow only while it holds requests back. */
    void onAnswered(boolean limitReached, long nowMillis) {
        mAnsweredSinceChange++;
        // A step that held tells that slots have come free; the others are tried without delay.
        if (mLastChangeWasGrowth && mAnsweredSinceChange >= mSlots) {
            mGrowthDelayMillis = MIN_GROWTH_DELAY_MILLIS;
            mNextGrowthMillis = Math.min(mNextGrowthMillis, nowMillis);
        }
        if (limitReached) {
            grow(nowMillis);
        }
    }

    /**
     * Takes in how slow a batch of answers was, as a multiple of the usual.
     *
     * <p>Never below half of the slots: a target that is slow for a reason of its own would be
     * starved of work without becoming any faster.
     */
    void onBatch(double inflation, long nowMillis) {
        if (inflation > SLOW_INFLATION && mLimit > (mSlots + 1) / 2) {
            mGrowthDelayMillis = MAX_GROWTH_DELAY_MILLIS;
            change(mLimit - 1, nowMillis);
        }
    }

    /** Grows back from nothing, where no answer can come to do it. */
    void onTick(long nowMillis) {
        if (mLimit == 0) {
            grow(nowMillis);
        }
    }

    private void grow(long nowMillis) {
        if (mLimit >= mSlots || nowMillis < mNextGrowthMillis) {
            return;
        }
        change(mLimit + 1, nowMillis);
        mLastChangeWasGrowth = true;
    }

    private void change(int limit, long nowMillis) {
        mLimit = limit;
        mLastChangeWasGrowth = false;
        mAnsweredSinceChange = 0;
        mChangedAtMillis = nowMillis;
        mNextGrowthMillis = nowMillis + mGrowthDelayMillis;
    }
}
