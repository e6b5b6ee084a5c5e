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
public final class RunTimes {
    /** A run is overdue beyond the mean by so many mean deviations; one in thirty is by chance. */
    static final double DEVIATIONS = 3;

    /** With fewer answers the useful time is relied on. */
    static final int ENOUGH = 5;

    /** Operators name a useful time of some two to three times what the work takes. */
    static final double USEFUL_PART = 0.75;

    /** Below, the scheduling of a busy VM decides. */
    static final long LEAST_MILLIS = 50;

    /** Old answers fade with this gain. */
    private static final double LEAST_GAIN = 0.05;

    /** Kinds told apart; what is beyond shares one. */
    private static final int MAX_KINDS = 256;

    private static final String OTHER_KINDS = "";

    private final Map<String, Estimate> mByWork = new HashMap<>();

    private static final class Estimate {
        private double mMeanMillis;
        private double mDeviationMillis;
        private int mCount;

        void add(double millis) {
            mCount++;
            double gain = Math.max(LEAST_GAIN, 1.0 / mCount);
            double error = millis - mMeanMillis;
            mMeanMillis += gain * error;
            // The first answer lies off the mean by nothing, and says nothing of the others.
            double deviationGain = mCount == 1 ? 0 : Math.max(LEAST_GAIN, 1.0 / (mCount - 1));
            mDeviationMillis += deviationGain * (Math.abs(error) - mDeviationMillis);
        }
    }

    /** Takes in a run that ended with an answer. */
    public synchronized void answered(String work, double millis) {
        boolean known = mByWork.containsKey(work) || mByWork.size() < MAX_KINDS;
        mByWork.computeIfAbsent(known ? work : OTHER_KINDS, kind -> new Estimate()).add(millis);
    }

    /**
     * Returns after how long a run is overdue, in milliseconds.
     *
     * @param usefulMillis time within which its answer is of full use
     */
    public synchronized long patienceMillis(String work, long usefulMillis) {
        Estimate known = mByWork.get(work);
        double millis =
                known == null || known.mCount < ENOUGH
                        ? USEFUL_PART * usefulMillis
                        : known.mMeanMillis + DEVIATIONS * known.mDeviationMillis;
        return Math.max(LEAST_MILLIS, (long) millis);
    }
}
