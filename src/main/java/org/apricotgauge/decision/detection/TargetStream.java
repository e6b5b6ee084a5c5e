package org.apricotgauge.decision.detection;

import java.util.Arrays;

/**
 * The samples of one target within one view, and the CUSUM tests on them.
 *
 * <p>Page's test keeps, for each alternative, the largest log-likelihood ratio of any suffix of the
 * samples: S = max(0, S + score). The counts since S left 0 are kept too, so that the ratio can be
 * recomputed against another baseline.
 */
final class TargetStream {
    /** Number of most recent samples that are kept individually. */
    static final int RECENT_SAMPLES = 512;

    private static final int REBASE_SAMPLES = 32;
    private static final double MAX_HISTORY_SAMPLES = 8_192;

    /** What a target's samples are used for. */
    enum Mode {
        /** In service: the target is tested, and is part of the other targets' baseline. */
        TESTED,
        /** Kept in service by the floor alone: the target is tested, but is part of no baseline. */
        KEPT_BY_FLOOR,
        /** Out of service or in its cold start: neither tested nor part of a baseline. */
        EXCLUDED
    }

    private final String mTargetId;
    private final double[] mHistory = new double[Category.COUNT];
    private final int[] mTotals = new int[Category.COUNT];
    private final int[][] mTotalsAtRise = new int[ScoreTable.TESTS][Category.COUNT];
    private final long[] mPoolSamplesAtRise = new long[ScoreTable.TESTS];
    private final double[] mNats = new double[ScoreTable.TESTS];
    private final byte[] mRecent = new byte[RECENT_SAMPLES];
    private ScoreTable mScores;
    private double mHistorySamples;
    private long mSamples;
    private long mLastMillis;
    private double mMaxNats;
    private Mode mMode = Mode.TESTED;

    TargetStream(String targetId) {
        mTargetId = targetId;
    }

    String targetId() {
        return mTargetId;
    }

    void setScores(ScoreTable scores) {
        mScores = scores;
    }

    /** Sets what the samples are used for; returns whether that changed. */
    boolean setMode(Mode mode) {
        boolean isChanged = mMode != mode;
        mMode = mode;
        return isChanged;
    }

    boolean isTested() {
        return mMode == Mode.TESTED;
    }

    boolean isInBaseline() {
        return mMode == Mode.TESTED && mSamples > 0;
    }

    long samples() {
        return mSamples;
    }

    long lastMillis() {
        return mLastMillis;
    }

    double historySamples() {
        return mHistorySamples;
    }

    double maxNats() {
        return mMaxNats;
    }

    double nats(int test) {
        return mNats[test];
    }

    /** Returns a sample's score against the target in one test, in nats. */
    double score(int test, int category) {
        return mScores.nats(category)[test];
    }

    /** Adds one sample; {@code poolSamples} counts the samples of all targets before it. */
    void add(int category, long poolSamples, long nowMillis) {
        mLastMillis = nowMillis;
        if (mMode != Mode.EXCLUDED) {
            updateTests(mScores.nats(category), poolSamples);
        }
        addToTotals(category, 1);
    }

    /**
     * Adds samples whose order is not known.
     *
     * <p>Their scores are summed before they enter the tests. If they were added one by one with
     * the failures last, a few failures among many successes would count as consecutive ones.
     */
    void addBatch(int[] counts, long poolSamples, long nowMillis) {
        mLastMillis = nowMillis;
        if (mMode != Mode.EXCLUDED) {
            double[] scores = new double[ScoreTable.TESTS];
            for (int category = 0; category < counts.length; category++) {
                double[] nats = mScores.nats(category);
                for (int test = 0; test < scores.length && counts[category] > 0; test++) {
                    scores[test] += counts[category] * nats[test];
                }
            }
            updateTests(scores, poolSamples);
        }
        for (int category = 0; category < counts.length; category++) {
            addToTotals(category, counts[category]);
        }
    }

    private void updateTests(double[] scores, long poolSamples) {
        double max = 0;
        for (int test = 0; test < scores.length; test++) {
            double nats = mNats[test];
            double score = scores[test];
            if (nats == 0 && score > 0) {
                System.arraycopy(mTotals, 0, mTotalsAtRise[test], 0, Category.COUNT);
                mPoolSamplesAtRise[test] = poolSamples;
            }
            nats = Math.max(0, nats + score);
            mNats[test] = nats;
            max = Math.max(max, nats);
        }
        mMaxNats = max;
    }

    private void addToTotals(int category, int count) {
        if (mMode == Mode.TESTED) {
            addToHistory(category, count);
        }
        mTotals[category] += count;
        for (int i = 0; i < Math.min(count, RECENT_SAMPLES); i++) {
            mRecent[(int) ((mSamples + i) % RECENT_SAMPLES)] = (byte) category;
        }
        mSamples += count;
    }

    private void addToHistory(int category, int count) {
        mHistory[category] += count;
        mHistorySamples += count;
        if (mHistorySamples > MAX_HISTORY_SAMPLES) {
            for (int i = 0; i < mHistory.length; i++) {
                mHistory[i] /= 2;
            }
            mHistorySamples /= 2;
        }
    }

    /**
     * Returns a test's evidence per sample since its statistic left 0, which shows how degraded the
     * target is.
     */
    double natsPerSample(int test) {
        return mNats[test] / Math.max(1, samplesSinceRise(test));
    }

    /** Returns the number of samples since a test's statistic left 0. */
    int samplesSinceRise(int test) {
        int samples = 0;
        for (int category = 0; category < Category.COUNT; category++) {
            samples += mTotals[category] - mTotalsAtRise[test][category];
        }
        return samples;
    }

    /** Returns the number of samples of the pool when a test's statistic left 0. */
    long poolSamplesAtRise(int test) {
        return mPoolSamplesAtRise[test];
    }

    /**
     * Returns the number of samples since a test's statistic left 0 that support its alternative.
     */
    int suspectSamplesSinceRise(int test) {
        int samples = 0;
        for (int category = 0; category < Category.COUNT; category++) {
            if (mScores.isSuspect(test, category)) {
                samples += mTotals[category] - mTotalsAtRise[test][category];
            }
        }
        return samples;
    }

    /** Adds the most recent samples to the counts by category. */
    void addRecentTo(int[] counts, int samples) {
        int taken = (int) Math.min(samples, mSamples);
        for (int i = 1; i <= taken; i++) {
            counts[mRecent[(int) ((mSamples - i) % RECENT_SAMPLES)]]++;
        }
    }

    ScoreTable scores() {
        return mScores;
    }

    /** Caps every statistic, so that a recovered target need not offset hours of evidence. */
    void capAt(double maxNats) {
        mMaxNats = 0;
        for (int test = 0; test < mNats.length; test++) {
            mNats[test] = Math.min(mNats[test], maxNats);
            mMaxNats = Math.max(mMaxNats, mNats[test]);
        }
    }

    /** Clears the evidence against the target, but keeps its samples in the baseline. */
    void clearTests() {
        Arrays.fill(mNats, 0);
        mMaxNats = 0;
    }

    /** Restarts from the most recent samples, as the service as a whole has changed. */
    void rebase() {
        clearTests();
        int[] counts = new int[Category.COUNT];
        addRecentTo(counts, REBASE_SAMPLES);
        Arrays.fill(mHistory, 0);
        mHistorySamples = 0;
        for (int category = 0; category < counts.length; category++) {
            addToHistory(category, counts[category]);
        }
    }

    /** Clears the evidence and the samples, as the target is a new process. */
    void clear() {
        clearTests();
        Arrays.fill(mHistory, 0);
        mHistorySamples = 0;
        mSamples = 0;
    }

    void addHistoryTo(double[] counts) {
        for (int category = 0; category < counts.length; category++) {
            counts[category] += mHistory[category];
        }
    }
}
