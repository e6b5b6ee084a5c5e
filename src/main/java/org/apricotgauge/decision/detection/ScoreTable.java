package org.apricotgauge.decision.detection;

/**
 * The log-likelihood ratio of every category under every alternative, against one baseline.
 *
 * <p>Ratios are clipped, so that one request never decides, however unlikely it is in the baseline.
 */
final class ScoreTable {
    static final int TESTS = AlternativeHypothesis.ALL.size();

    private static final double MAX_NATS = 7.4;
    private static final double MIN_NATS = -4;

    private final double[][] mNats = new double[Category.COUNT][TESTS];
    private final double[] mBaseline;

    /**
     * Computes the table.
     *
     * @param baseline the baseline's probabilities of the categories, none of them 0
     * @param withSlowness whether the baseline holds enough service times to test for slowness
     */
    ScoreTable(double[] baseline, boolean withSlowness) {
        mBaseline = baseline;
        for (int test = 0; test < TESTS; test++) {
            AlternativeHypothesis alternative = AlternativeHypothesis.ALL.get(test);
            double[] degraded = alternative.transform().apply(baseline);
            if (alternative.kind() == AlternativeHypothesis.Kind.SLOWNESS && !withSlowness) {
                continue;
            }
            for (int category = 0; category < Category.COUNT; category++) {
                mNats[category][test] = clip(degraded[category], baseline[category]);
            }
        }
    }

    /** Returns the scores of one category, one for each test; the array must not be modified. */
    double[] nats(int category) {
        return mNats[category];
    }

    /** Returns whether a category supports the alternative of a test. */
    boolean isSuspect(int test, int category) {
        return mNats[category][test] > 0;
    }

    /** Returns the baseline's share of the categories that support the alternative of a test. */
    double suspectShare(int test) {
        double share = 0;
        for (int category = 0; category < Category.COUNT; category++) {
            share += isSuspect(test, category) ? mBaseline[category] : 0;
        }
        return share;
    }

    private static double clip(double degraded, double baseline) {
        return Math.max(MIN_NATS, Math.min(MAX_NATS, Math.log(degraded / baseline)));
    }
}
