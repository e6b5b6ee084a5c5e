package org.apricotgauge.decision.health;

/**
 * How long requests run at one target before it fails them.
 *
 * <p>Where failures come within a few milliseconds and answers take a second, a request that still
 * runs after some milliseconds says as much of the target's health as its answer will, a second
 * earlier. Where failures take as long as answers, it says nothing. Kept as counts in steps of a
 * factor of two; the old ones fade. Not thread-safe.
 */
final class FailureTimes {
    private static final int STEPS = 15;

    /** Weight of what is assumed before any failure, in failures. */
    private static final double PRIOR = 1;

    /**
     * Part of that which is spread evenly over the steps; the rest comes later than all of them.
     */
    private static final double PRIOR_WITHIN = 0.5;

    /** With so many failures all counts are halved, so that a target that changes is followed. */
    private static final double MOST = 32;

    /**
     * Least time after which a request that still runs is taken for evidence, in milliseconds:
     * below it, the scheduling of a process that shares a core decides what is seen first.
     */
    private static final long LEAST_MILLIS = 16;

    /** A request is looked at once at least this part of the failures would have come. */
    private static final double ENOUGH = 0.5;

    /** Share of silent failures from which on silence is evidence. */
    private static final double SILENT_SHARE = 0.25;

    /** Silent failures that are assumed before any, and as many others. */
    private static final double SILENT_PRIOR = 1;

    private final double[] mCounts = new double[STEPS];
    private double mSum;
    private double mSilent;

    /** Counts a failure after a time. */
    void add(long millis) {
        fade();
        mCounts[stepOf(millis)]++;
        mSum++;
    }

    /** Counts a failure that said nothing until nobody waited any more. */
    void addSilent() {
        fade();
        mSum++;
        mSilent++;
    }

    /**
     * Returns whether many failures say nothing until nobody waits any more, so that silence is
     * evidence; where they come as errors, a silent target is busy.
     */
    boolean areSilent() {
        return mSilent + SILENT_PRIOR >= SILENT_SHARE * (mSum + 2 * SILENT_PRIOR);
    }

    private void fade() {
        if (mSum < MOST) {
            return;
        }
        for (int i = 0; i < STEPS; i++) {
            mCounts[i] /= 2;
        }
        mSum /= 2;
        mSilent /= 2;
    }

    /** Returns the part of the failures that come within a time, from 0 to 1. */
    double within(long millis) {
        int step = stepOf(millis);
        double counted = 0;
        for (int i = 0; i <= step; i++) {
            counted += mCounts[i];
        }
        double assumed = PRIOR * PRIOR_WITHIN * (step + 1) / STEPS;
        return (counted + assumed) / (mSum + PRIOR);
    }

    /** Returns after how long a request that still runs is evidence, in milliseconds. */
    long checkMillis() {
        long millis = LEAST_MILLIS;
        while (within(millis) < ENOUGH && stepOf(millis) < STEPS - 1) {
            millis *= 2;
        }
        return millis;
    }

    /** Returns the step whose bound, 2 to the power of the step, a time does not pass. */
    private static int stepOf(long millis) {
        int step = Long.SIZE - Long.numberOfLeadingZeros(Math.max(1, millis) - 1);
        return Math.min(STEPS - 1, step);
    }
}
