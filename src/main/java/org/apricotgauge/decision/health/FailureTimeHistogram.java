package org.apricotgauge.decision.health;

/**
 * How long requests run at one target before it fails them.
 *
 * <p>Where failures come within a few milliseconds and answers take a second, a request that still
 * runs after some milliseconds says as much of the target's health as its answer will, a second
 * earlier. Where failures take as long as answers, it says nothing. Kept as counts in steps of a
 * factor of two; the old ones fade. Not thread-safe.
 */
final class FailureTimeHistogram {
    private static final int BUCKETS = 15;

    /** Weight of what is assumed before any failure, in failures. */
    private static final double PRIOR_WEIGHT = 1;

    /**
     * Part of that which is spread evenly over the steps; the rest comes later than all of them.
     */
    private static final double PRIOR_BUCKETS_SHARE = 0.5;

    /** With so many failures all counts are halved, so that a target that changes is followed. */
    private static final double MAX_TOTAL = 32;

    /**
     * Least time after which a request that still runs is taken for evidence, in milliseconds:
     * below it, the scheduling of a process that shares a core decides what is seen first.
     */
    private static final long MIN_CHECK_MILLIS = 16;

    /** A request is looked at once at least this part of the failures would have come. */
    private static final double CHECK_SHARE = 0.5;

    /** Share of silent failures from which on silence is evidence. */
    private static final double MIN_TIMEOUT_SHARE = 0.25;

    /** Silent failures that are assumed before any, and as many others. */
    private static final double TIMEOUT_PRIOR = 1;

    private final double[] mCounts = new double[BUCKETS];
    private double mTotal;
    private double mTimeouts;

    /** Counts a failure after a time. */
    void addFailure(long millis) {
        decay();
        mCounts[bucketOf(millis)]++;
        mTotal++;
    }

    /** Counts a failure that said nothing until nobody waited any more. */
    void addTimeout() {
        decay();
        mTotal++;
        mTimeouts++;
    }

    /**
     * Returns whether many failures say nothing until nobody waits any more, so that silence is
     * evidence; where they come as errors, a silent target is busy.
     */
    boolean areTimeoutsCommon() {
        return mTimeouts + TIMEOUT_PRIOR >= MIN_TIMEOUT_SHARE * (mTotal + 2 * TIMEOUT_PRIOR);
    }

    private void decay() {
        if (mTotal < MAX_TOTAL) {
            return;
        }
        for (int i = 0; i < BUCKETS; i++) {
            mCounts[i] /= 2;
        }
        mTotal /= 2;
        mTimeouts /= 2;
    }

    /** Returns the part of the failures that come within a time, from 0 to 1. */
    double shareWithin(long millis) {
        int step = bucketOf(millis);
        double counted = 0;
        for (int i = 0; i <= step; i++) {
            counted += mCounts[i];
        }
        double assumed = PRIOR_WEIGHT * PRIOR_BUCKETS_SHARE * (step + 1) / BUCKETS;
        return (counted + assumed) / (mTotal + PRIOR_WEIGHT);
    }

    /** Returns after how long a request that still runs is evidence, in milliseconds. */
    long checkMillis() {
        long millis = MIN_CHECK_MILLIS;
        while (shareWithin(millis) < CHECK_SHARE && bucketOf(millis) < BUCKETS - 1) {
            millis *= 2;
        }
        return millis;
    }

    /** Returns the step whose bound, 2 to the power of the step, a time does not pass. */
    private static int bucketOf(long millis) {
        int step = Long.SIZE - Long.numberOfLeadingZeros(Math.max(1, millis) - 1);
        return Math.min(BUCKETS - 1, step);
    }
}
