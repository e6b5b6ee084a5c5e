package org.apricotgauge.bench.policy;

import java.util.random.RandomGenerator;

/**
 * The law by which a target answers: failures, and service times.
 *
 * <p>A healthy target fails one request in a thousand; its service time is lognormal around 20 ms,
 * and one in a hundred takes four times that.
 *
 * @param failure probability that a request fails
 * @param slowShare share of the requests that are slowed
 * @param slowFactor how many times longer these take
 */
record RequestLaw(double failure, double slowShare, double slowFactor) {
    static final RequestLaw HEALTHY = new RequestLaw(0.001, 0, 1);

    private static final double MEDIAN_MICROS = 20_000;
    private static final double SIGMA = 0.4;
    private static final double HICCUP_SHARE = 0.01;
    private static final double HICCUP_FACTOR = 4;
    private static final int TABLE_BITS = 16;

    private static final double GRID_STEP = 0.02;
    private static final double GRID_FROM = Math.log(1_000);
    private static final double GRID_TO = Math.log(50_000_000);

    private static final float[] TABLE = table();

    /** Draws a healthy service time in microseconds. */
    static long healthyMicros(RandomGenerator random) {
        return (long) TABLE[random.nextInt() >>> (Integer.SIZE - TABLE_BITS)];
    }

    boolean fails(RandomGenerator random) {
        return random.nextDouble() < failure;
    }

    long micros(RandomGenerator random) {
        long micros = healthyMicros(random);
        if (slowShare == 0 || random.nextDouble() >= slowShare) {
            return micros;
        }
        return (long) (micros * slowFactor);
    }

    /**
     * Returns the Kullback-Leibler divergence of this law from the healthy one, in nats a request.
     */
    double divergence() {
        double nats = term(failure, HEALTHY.failure);
        for (double log = GRID_FROM; log < GRID_TO; log += GRID_STEP) {
            double healthy = density(log);
            double mine =
                    (1 - slowShare) * healthy + slowShare * density(log - Math.log(slowFactor));
            nats +=
                    term(
                            (1 - failure) * mine * GRID_STEP,
                            (1 - HEALTHY.failure) * healthy * GRID_STEP);
        }
        return nats;
    }

    private static double term(double mine, double healthy) {
        return mine < Double.MIN_NORMAL ? 0 : mine * Math.log(mine / healthy);
    }

    private static double density(double log) {
        double usual = normal(log - Math.log(MEDIAN_MICROS));
        double hiccup = normal(log - Math.log(MEDIAN_MICROS * HICCUP_FACTOR));
        return Math.max(1e-300, (1 - HICCUP_SHARE) * usual + HICCUP_SHARE * hiccup);
    }

    private static double normal(double difference) {
        double z = difference / SIGMA;
        return Math.exp(-z * z / 2) / (SIGMA * Math.sqrt(2 * Math.PI));
    }

    /** Tabulates the quantiles of a healthy service time, so that drawing one is a look-up. */
    private static float[] table() {
        int size = 1 << TABLE_BITS;
        float[] table = new float[size];
        double log = Math.log(MEDIAN_MICROS) - 6 * SIGMA;
        double step = 1e-4;
        double mass = 0;
        for (int i = 0; i < size; i++) {
            while (mass < (i + 0.5) / size && log < GRID_TO) {
                mass += density(log) * step;
                log += step;
            }
            table[i] = (float) Math.exp(log);
        }
        return table;
    }
}
