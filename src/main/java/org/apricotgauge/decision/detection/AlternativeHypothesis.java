package org.apricotgauge.decision.detection;

import java.util.List;

/**
 * One kind of degradation that a sequential test detects.
 *
 * @param name description for the evidence text
 * @param kind whether it concerns failures or service time
 * @param transform derives a degraded target's distribution over the categories from the pool's
 */
record AlternativeHypothesis(String name, Kind kind, Transform transform) {
    /** The alternatives that are tested in parallel. */
    static final List<AlternativeHypothesis> ALL =
            List.of(
                    failing("failing 5 of 100", 0.05),
                    failing("failing 30 of 100", 0.3),
                    failing("failing 90 of 100", 0.9),
                    slow("slow 2 times", 1, 2, 2),
                    slow("slow 3 times", 1, 3, 3),
                    slow("slow 5 times", 1, 4, 5),
                    slow("slow 10 times", 1, 6, 10),
                    slow("straggling in 10 of 100", 0.1, 7, 10));

    /** Minimum ratio of an alternative's failure probability to the pool's. */
    private static final double MIN_FAILURE_RATIO = 4;

    private static final double MAX_FAILURE_PROBABILITY = 0.95;

    /** The symptom that an alternative concerns. */
    enum Kind {
        FAILURE,
        SLOWNESS
    }

    /** Derives a degraded target's distribution over the categories from the pool's. */
    @FunctionalInterface
    interface Transform {
        double[] apply(double[] pool);
    }

    private static AlternativeHypothesis failing(String name, double probability) {
        return new AlternativeHypothesis(
                name, Kind.FAILURE, pool -> failingDistribution(pool, probability));
    }

    private static AlternativeHypothesis slow(String name, double share, int fromBins, int toBins) {
        return new AlternativeHypothesis(
                name, Kind.SLOWNESS, pool -> slowDistribution(pool, share, fromBins, toBins));
    }

    private static double[] failingDistribution(double[] pool, double probability) {
        double failure =
                Math.min(
                        MAX_FAILURE_PROBABILITY,
                        Math.max(probability, MIN_FAILURE_RATIO * pool[Category.FAILURE]));
        double rest = (1 - failure) / (1 - pool[Category.FAILURE]);
        double[] degraded = new double[Category.COUNT];
        for (int bin = 0; bin < LatencyBins.COUNT; bin++) {
            degraded[bin] = pool[bin] * rest;
        }
        degraded[Category.FAILURE] = failure;
        return degraded;
    }

    /** Shifts a share of the answers to slower bins, in equal parts for each shift of the range. */
    private static double[] slowDistribution(
            double[] pool, double share, int fromBins, int toBins) {
        double[] degraded = new double[Category.COUNT];
        double part = share / (toBins - fromBins + 1);
        for (int bin = 0; bin < LatencyBins.COUNT; bin++) {
            degraded[bin] += pool[bin] * (1 - share);
            for (int shift = fromBins; shift <= toBins; shift++) {
                degraded[Math.min(LatencyBins.COUNT - 1, bin + shift)] += pool[bin] * part;
            }
        }
        degraded[Category.FAILURE] = pool[Category.FAILURE];
        return degraded;
    }
}
