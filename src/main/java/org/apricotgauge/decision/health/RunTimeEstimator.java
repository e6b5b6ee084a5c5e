package org.apricotgauge.decision.health;

import java.util.HashMap;
import java.util.Map;

/**
 * How long requests run at one target that answers them, by kind of work.
 *
 * <pre>{@code
 * times.answered("route-7", 268);
 * long patienceMillis = times.patienceMillis("route-7", usefulMillis);
 * }</pre>
 *
 * <p>A target that hangs says nothing at all. Until the first of its requests runs out of time it
 * would go on getting work, and those that may repeat would wait for it while others could serve
 * them. What runs for far longer than its kind usually does is taken for hung. Thread-safe.
 */
public final class RunTimeEstimator {
    /** A run is overdue beyond the mean by so many mean deviations; one in thirty is by chance. */
    static final double TIMEOUT_DEVIATIONS = 3;

    /** With fewer answers the useful time is relied on. */
    static final int MIN_SAMPLES = 5;

    /** Operators name a useful time of some two to three times what the work takes. */
    static final double USEFUL_TIME_SHARE = 0.75;

    /** Below, the scheduling of a busy VM decides. */
    static final long MIN_TIMEOUT_MILLIS = 50;

    /** Beyond the mean by so many mean deviations a run is looked at; seconds apart at most. */
    private static final double[] CHECK_DEVIATIONS = {0, 0.8, 1.6, 2.4};

    /** Least mean deviation, as part of the mean; a handful of answers alike proves no more. */
    private static final double MIN_DEVIATION_SHARE = 0.2;

    /** Scale of a logistic law with a mean deviation of 1. */
    private static final double LOGISTIC_SCALE = 1 / (2 * Math.log(2));

    /** Part of the answers that no law foretells: a few take several times as long. */
    private static final double OUTLIER_SHARE = 0.03;

    /** Old answers fade with this gain. */
    private static final double MIN_GAIN = 0.05;

    /** Kinds told apart; what is beyond shares one. */
    private static final int MAX_KINDS = 256;

    private static final String OTHER_KINDS = "";

    private final Map<String, Estimate> mEstimates = new HashMap<>();

    /** Mean and mean deviation of the time that a kind of work takes. */
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
            // The first answer lies off the mean by nothing, and says nothing of the others.
            double deviationGain = mCount == 1 ? 0 : Math.max(MIN_GAIN, 1.0 / (mCount - 1));
            mDeviationMillis += deviationGain * (Math.abs(error) - mDeviationMillis);
        }
    }

    /** Takes in a run that ended with an answer. */
    public synchronized void answered(String work, double millis) {
        boolean known = mEstimates.containsKey(work) || mEstimates.size() < MAX_KINDS;
        mEstimates.computeIfAbsent(known ? work : OTHER_KINDS, kind -> new Estimate()).add(millis);
    }

    /** Returns whether enough answers to this work came to tell how long they take. */
    synchronized boolean hasEnoughSamples(String work) {
        Estimate known = mEstimates.get(work);
        return known != null && known.mCount >= MIN_SAMPLES;
    }

    /**
     * Returns the part of the answers to this work that come within a time, from 0 to 1; 0 while
     * that is not known.
     */
    synchronized double answeredShareWithin(String work, double millis) {
        if (!hasEnoughSamples(work)) {
            return 0;
        }
        Distribution law = distributionOf(work);
        double scale = Math.max(1, law.deviationMillis() * LOGISTIC_SCALE);
        return (1 - OUTLIER_SHARE) / (1 + Math.exp((law.meanMillis() - millis) / scale));
    }

    /**
     * Returns the next time after which a run that goes on tells something new, in milliseconds
     * since its start; {@link Long#MAX_VALUE} if none is to come.
     */
    synchronized long nextCheckMillis(String work, long millis) {
        if (!hasEnoughSamples(work)) {
            return Long.MAX_VALUE;
        }
        Distribution law = distributionOf(work);
        for (double mark : CHECK_DEVIATIONS) {
            long markMillis = (long) (law.meanMillis() + mark * law.deviationMillis());
            if (markMillis > Math.max(millis, MIN_TIMEOUT_MILLIS)) {
                return markMillis;
            }
        }
        return Long.MAX_VALUE;
    }

    /**
     * Returns after how long a run is overdue, in milliseconds.
     *
     * @param usefulMillis time within which its answer is of full use
     */
    public synchronized long runTimeoutMillis(String work, long usefulMillis) {
        double millis = USEFUL_TIME_SHARE * usefulMillis;
        if (hasEnoughSamples(work)) {
            Distribution law = distributionOf(work);
            millis = law.meanMillis() + TIMEOUT_DEVIATIONS * law.deviationMillis();
        }
        return Math.max(MIN_TIMEOUT_MILLIS, (long) millis);
    }

    private Distribution distributionOf(String work) {
        Estimate known = mEstimates.get(work);
        double least = MIN_DEVIATION_SHARE * known.mMeanMillis;
        return new Distribution(known.mMeanMillis, Math.max(least, known.mDeviationMillis));
    }
}
