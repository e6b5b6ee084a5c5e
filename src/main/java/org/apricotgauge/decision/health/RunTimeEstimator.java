package org.apricotgauge.decision.health;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the run times of answered requests at one target, by kind of work.
 *
 * <pre>{@code
 * estimator.answered("route-7", 268);
 * long timeoutMillis = estimator.runTimeoutMillis("route-7", softDeadlineMillis);
 * }</pre>
 *
 * <p>A target that hangs returns neither answers nor errors. Until its first request reached the
 * deadline, it would receive further work, and idempotent requests would wait for it while other
 * targets could serve them. A run that takes far longer than usual for its kind is therefore
 * considered hung. Thread-safe.
 */
public final class RunTimeEstimator {
    /** A run times out this many mean deviations above the mean; one in thirty does by chance. */
    static final double TIMEOUT_DEVIATIONS = 3;

    /** With fewer answers, the timeout is derived from the soft deadline. */
    static final int MIN_SAMPLES = 5;

    /** Operators configure a soft deadline of about two to three times the typical run time. */
    static final double USEFUL_TIME_SHARE = 0.75;

    /** Below it, run times depend on the scheduling of a busy VM. */
    static final long MIN_TIMEOUT_MILLIS = 50;

    /**
     * A run is checked at these numbers of mean deviations above the mean, at most seconds apart.
     */
    private static final double[] CHECK_DEVIATIONS = {0, 0.8, 1.6, 2.4};

    /** Least mean deviation, as a share of the mean; a few similar answers do not justify less. */
    private static final double MIN_DEVIATION_SHARE = 0.2;

    /** Scale of a logistic distribution with a mean deviation of 1. */
    private static final double LOGISTIC_SCALE = 1 / (2 * Math.log(2));

    /** Share of answers outside the distribution: a few take several times as long. */
    private static final double OUTLIER_SHARE = 0.03;

    /** Least gain of the moving averages, with which old answers decay. */
    private static final double MIN_GAIN = 0.05;

    /** Most kinds of work with an estimate of their own; further kinds share one. */
    private static final int MAX_KINDS = 256;

    private static final String OTHER_KINDS = "";

    private final Map<String, Estimate> mEstimates = new HashMap<>();

    /** Mean and mean deviation of the run time of a kind of work. */
    private record Distribution(double meanMillis, double deviationMillis) {}

    private static final class Estimate {
        private double mMeanMillis;
        private double mDeviationMillis;
        private int mCount;

        void add(double millis) {
            mCount++;
            double gain = Math.max(MIN_GAIN, 1.0 / mCount);
            double error = millis - mMeanMillis;
            mMeanMillis += gain * error;
            // The first answer defines the mean and is no evidence of the deviation.
            double deviationGain = mCount == 1 ? 0 : Math.max(MIN_GAIN, 1.0 / (mCount - 1));
            mDeviationMillis += deviationGain * (Math.abs(error) - mDeviationMillis);
        }
    }

    /** Records the run time of an answered request. */
    public synchronized void answered(String workKind, double millis) {
        boolean hasOwnEstimate = mEstimates.containsKey(workKind) || mEstimates.size() < MAX_KINDS;
        mEstimates
                .computeIfAbsent(hasOwnEstimate ? workKind : OTHER_KINDS, kind -> new Estimate())
                .add(millis);
    }

    /** Returns whether there are enough answers to estimate the run time of a kind of work. */
    synchronized boolean hasEnoughSamples(String workKind) {
        Estimate estimate = mEstimates.get(workKind);
        return estimate != null && estimate.mCount >= MIN_SAMPLES;
    }

    /**
     * Returns the share of answers to a kind of work that arrive within a time, from 0 to 1; 0 if
     * there are too few answers to estimate it.
     */
    synchronized double answeredShareWithin(String workKind, double millis) {
        if (!hasEnoughSamples(workKind)) {
            return 0;
        }
        Distribution distribution = distributionOf(workKind);
        double scale = Math.max(1, distribution.deviationMillis() * LOGISTIC_SCALE);
        return (1 - OUTLIER_SHARE) / (1 + Math.exp((distribution.meanMillis() - millis) / scale));
    }

    /**
     * Returns the next time at which a run that continues is new evidence, in milliseconds since
     * its start; {@link Long#MAX_VALUE} if there is none.
     */
    synchronized long nextCheckMillis(String workKind, long millis) {
        if (!hasEnoughSamples(workKind)) {
            return Long.MAX_VALUE;
        }
        Distribution distribution = distributionOf(workKind);
        for (double deviations : CHECK_DEVIATIONS) {
            long checkMillis =
                    (long)
                            (distribution.meanMillis()
                                    + deviations * distribution.deviationMillis());
            if (checkMillis > Math.max(millis, MIN_TIMEOUT_MILLIS)) {
                return checkMillis;
            }
        }
        return Long.MAX_VALUE;
    }

    /**
     * Returns the time after which a run times out, in milliseconds.
     *
     * @param softDeadlineMillis time from the start of the run to the request's soft deadline
     */
    public synchronized long runTimeoutMillis(String workKind, long softDeadlineMillis) {
        double millis = USEFUL_TIME_SHARE * softDeadlineMillis;
        if (hasEnoughSamples(workKind)) {
            Distribution distribution = distributionOf(workKind);
            millis =
                    distribution.meanMillis() + TIMEOUT_DEVIATIONS * distribution.deviationMillis();
        }
        return Math.max(MIN_TIMEOUT_MILLIS, (long) millis);
    }

    /**
     * Returns the mean run time of a kind of work, in milliseconds; 0 if there are too few answers
     * to estimate it.
     */
    public synchronized long meanMillis(String workKind) {
        return hasEnoughSamples(workKind) ? (long) distributionOf(workKind).meanMillis() : 0;
    }

    private Distribution distributionOf(String workKind) {
        Estimate estimate = mEstimates.get(workKind);
        double minDeviationMillis = MIN_DEVIATION_SHARE * estimate.mMeanMillis;
        return new Distribution(
                estimate.mMeanMillis, Math.max(minDeviationMillis, estimate.mDeviationMillis));
    }
}
