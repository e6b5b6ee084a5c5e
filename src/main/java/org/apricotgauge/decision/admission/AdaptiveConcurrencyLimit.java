package org.apricotgauge.decision.admission;

/**
 * Concurrency limit of a target: its slots less those that other systems use.
 *
 * <p>Another system may send requests to the same target. A slot that it uses appears here as a
 * shed request (503) or, if the target queues instead, as a longer service time. The limit
 * decreases by one on either, and grows by one after a delay that doubles while growth fails.
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

    /** Records that the target shed a request that was admitted at the given time. */
    void onShed(long admittedAtMillis, long nowMillis) {
        // Requests admitted before the last change are no evidence about the present limit. If they
        // counted, one busy moment of the target would reduce the limit from 7 to 0.
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

    /** Records an answered request; the limit can grow only while it is fully used. */
    void onAnswered(boolean limitReached, long nowMillis) {
        mAnsweredSinceChange++;
        // A growth step followed by as many answers as slots shows that slots are free again, so
        // the next step needs no delay.
        if (mLastChangeWasGrowth && mAnsweredSinceChange >= mSlots) {
            mGrowthDelayMillis = MIN_GROWTH_DELAY_MILLIS;
            mNextGrowthMillis = Math.min(mNextGrowthMillis, nowMillis);
        }
        if (limitReached) {
            grow(nowMillis);
        }
    }

    /**
     * Records the mean service time of a batch of answers, as a multiple of the baseline.
     *
     * <p>Slow batches never reduce the limit below half of the slots: a target that is slow for a
     * reason of its own would be starved of requests without becoming any faster.
     */
    void onBatch(double inflation, long nowMillis) {
        if (inflation > SLOW_INFLATION && mLimit > (mSlots + 1) / 2) {
            mGrowthDelayMillis = MAX_GROWTH_DELAY_MILLIS;
            change(mLimit - 1, nowMillis);
        }
    }

    /** Grows the limit from 0, where no answer can arrive that would grow it. */
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
