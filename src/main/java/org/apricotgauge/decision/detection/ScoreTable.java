package org.apricotgauge.decision.detection;

/**
 * The log-likelihood ratio of every category under every alternative, against one baseline.
 *
 * <p>A ratio is clipped: one request never decides, however strange it is to the baseline.
 */
final class ScoreTable {
    static final int TESTS = Alternative.ALL.size();

    private static final double MAX_NATS = 6.9;
    private static final double MIN_NATS = -4;

    private final double[][] mNats = new double[Category.COUNT][TESTS];
    private final double[][] mSick = new double[TESTS][];

    /**
     * Works the table out.
     *
     * @param pool the baseline's probabilities of the categories, none of them 0
     * @param withSlowness whether the baseline holds enough service times to test for slowness
     */
    ScoreTable(double[] pool, boolean withSlowness) {
        for (int test = 0; test < TESTS; test++) {
            Alternative alternative = Alternative.ALL.get(test);
            mSick[test] = alternative.law().sick(pool);
            if (alternative.kind() == Alternative.Kind.SLOWNESS && !withSlowness) {
                continue;
            }
            for (int category = 0; category < Category.COUNT; category++) {
                mNats[category][test] = clip(mSick[test][category], pool[category]);
            }
        }
    }

    /** Returns the scores of one category, a number for each test; not to be changed. */
    double[] nats(int category) {
        return mNats[category];
    }

    /** Returns the score of a category against another baseline than the table's own. */
    double natsAgainst(int test, int category, double baseline) {
        return Math.min(mNats[category][test], clip(mSick[test][category], baseline));
    }

    private static double clip(double sick, double pool) {
        return Math.max(MIN_NATS, Math.min(MAX_NATS, Math.log(sick / pool)));
    }
}
