package org.apricotgauge.decision.detection;

/**
 * The log-likelihood ratio of every category under every alternative, against one baseline.
 *
 * <p>A ratio is clipped: one request never decides, however strange it is to the baseline.
 */
final class ScoreTable {
    static final int TESTS = AlternativeHypothesis.ALL.size();

    private static final double MAX_NATS = 7.4;
    private static final double MIN_NATS = -4;

    private final double[][] mNats = new double[Category.COUNT][TESTS];
    private final double[] mBaseline;

    /**
     * Works the table out.
     *
     * @param pool the baseline's probabilities of the categories, none of them 0
     * @param withSlowness whether the baseline holds enough service times to test for slowness
     */
    ScoreTable(double[] pool, boolean withSlowness) {
        mBaseline = pool;
        for (int test = 0; test < TESTS; test++) {
            AlternativeHypothesis alternative = AlternativeHypothesis.ALL.get(test);
            double[] sick = alternative.transform().apply(pool);
            if (alternative.kind() == AlternativeHypothesis.Kind.SLOWNESS && !withSlowness) {
                continue;
            }
            for (int category = 0; category < Category.COUNT; category++) {
                mNats[category][test] = clip(sick[category], pool[category]);
            }
        }
    }

    /** Returns the scores of one category, a number for each test; not to be changed. */
    double[] nats(int category) {
        return mNats[category];
    }

    /** Returns whether a category speaks for the alternative. */
    boolean isSuspect(int test, int category) {
        return mNats[category][test] > 0;
    }

    /** Returns the baseline's share of the categories that speak for the alternative. */
    double suspectShare(int test) {
        double share = 0;
        for (int category = 0; category < Category.COUNT; category++) {
            share += isSuspect(test, category) ? mBaseline[category] : 0;
        }
        return share;
    }

    private static double clip(double sick, double pool) {
        return Math.max(MIN_NATS, Math.min(MAX_NATS, Math.log(sick / pool)));
    }
}
