package org.apricotgauge.decision.health;

/**
 * Histogram of the time after which one target fails requests.
 *
 * <p>Where failures arrive within a few milliseconds and answers take a second, a request that
 * still runs after some milliseconds is as strong evidence of the target's health as its answer,
 * and is available a second earlier. Where failures take as long as answers, it is no evidence.
 * Bucket bounds are powers of two, and old counts decay. Not thread-safe.
 */
final class FailureTimeHistogram {
    private static final int BUCKETS = 15;

    /** Weight of the prior distribution, in failures. */
    private static final double PRIOR_WEIGHT = 1;

    /** Share of the prior spread evenly over the buckets; the rest lies beyond all of them. */
    private static final double PRIOR_BUCKETS_SHARE = 0.5;

    /** All counts are halved at this total, so that the histogram follows changes of the target. */
    private static final double MAX_TOTAL = 32;

    /**
     * Least time after which a request that still runs counts as evidence, in milliseconds. Below
     * it, the order of events depends on the scheduling of processes that share a core.
     */
    private static final long MIN_CHECK_MILLIS = 16;

    /** A request is checked once at least this share of failures would have arrived. */
    private static final double CHECK_SHARE = 0.5;

    /** Least share of timeouts among the failures at which a missing answer is evidence. */
    private static final double MIN_TIMEOUT_SHARE = 0.25;

    /** Prior number of timeouts, and of other failures. */
    private static final double TIMEOUT_PRIOR = 1;

    private final double[] mCounts = new double[BUCKETS];
    private double mTotal;
    private double mTimeouts;

    /** Records a failure and the time after which it arrived. */
    void addFailure(long millis) {
        decay();
        mCounts[bucketOf(millis)]++;
        mTotal++;
    }

    /** Records a failure by timeout: no answer arrived before the request was abandoned. */
    void addTimeout() {
        decay();
        mTotal++;
        mTimeouts++;
    }

    /**
     * Returns whether many failures are timeouts, so that a missing answer is evidence of a
     * failure. Where failures arrive as errors, an unresponsive target is busy.
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

    /** Returns the estimated share of failures that arrive within a time, from 0 to 1. */
    double shareWithin(long millis) {
        int bucket = bucketOf(millis);
        double recorded = 0;
        for (int i = 0; i <= bucket; i++) {
            recorded += mCounts[i];
        }
        double prior = PRIOR_WEIGHT * PRIOR_BUCKETS_SHARE * (bucket + 1) / BUCKETS;
        return (recorded + prior) / (mTotal + PRIOR_WEIGHT);
    }

    /** Returns the time after which a request that still runs is evidence, in milliseconds. */
    long checkMillis() {
        long millis = MIN_CHECK_MILLIS;
        while (shareWithin(millis) < CHECK_SHARE && bucketOf(millis) < BUCKETS - 1) {
            millis *= 2;
        }
        return millis;
    }

    /** Returns the first bucket whose upper bound, 2 to the power of its index, is not exceeded. */
    private static int bucketOf(long millis) {
        int bucket = Long.SIZE - Long.numberOfLeadingZeros(Math.max(1, millis) - 1);
        return Math.min(BUCKETS - 1, bucket);
    }
}
