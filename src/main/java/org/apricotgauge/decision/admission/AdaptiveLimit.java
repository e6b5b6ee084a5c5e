package org.apricotgauge.decision.admission;

/**
 * How many requests the target gets at once: its slots less those that others use unseen.
 *
 * <p>Another system may serve the same target. Each slot that it takes shows as a shed request
 * (503), or, if the target queues instead, as a longer service time. The limit steps down on
 * either, and tries one more after a wait that doubles while the tries fail.
 */
final class AdaptiveLimit {
    private static final long MIN_WAIT_MILLIS = 50;
    private static final long MAX_WAIT_MILLIS = 1_600;
    private static final double SLOW = 2.0;
    private static final int MIN_SAMPLES = 20;

    private final int mSlots;
    private int mLimit;
    private long mWaitMillis = MIN_WAIT_MILLIS;
    private long mNextGrowthMillis = Long.MIN_VALUE;
    private long mChangedAtMillis = Long.MIN_VALUE;
    private int mAnsweredSinceChange;

    AdaptiveLimit(int slots) {
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
        mWaitMillis = growthFailed ? Math.min(MAX_WAIT_MILLIS, mWaitMillis * 2) : MIN_WAIT_MILLIS;
        change(Math.max(0, mLimit - 1), nowMillis);
    }

    /** Takes in an answered request; the limit can grow only while it holds requests back. */
    void onAnswered(double inflation, boolean limitReached, long nowMillis) {
        mAnsweredSinceChange++;
        int floor = (mSlots + 1) / 2;
        if (inflation > SLOW && limitReached && mLimit > floor) {
            if (mAnsweredSinceChange >= MIN_SAMPLES) {
                mWaitMillis = MAX_WAIT_MILLIS;
                change(mLimit - 1, nowMillis);
            }
            return;
        }
        if (limitReached) {
            grow(nowMillis);
        }
    }

    /** Grows back from nothing, where no answer can come to do it. */
    void onTick(long nowMillis) {
        if (mLimit == 0) {
            grow(nowMillis);
        }
    }

    private void grow(long nowMillis) {
        if (mLimit < mSlots && nowMillis >= mNextGrowthMillis) {
            change(mLimit + 1, nowMillis);
        }
    }

    private void change(int limit, long nowMillis) {
        mLimit = limit;
        mAnsweredSinceChange = 0;
        mChangedAtMillis = nowMillis;
        mNextGrowthMillis = nowMillis + mWaitMillis;
    }
}
