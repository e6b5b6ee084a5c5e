package org.apricotgauge.bench.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;

/** One cell of the table: a policy on a pool under a fault, over many episodes. */
final class Cell {
    private static final double MILLIS_PER_HOUR = 3_600_000;

    private Cell() {}

    /**
     * What a cell came to.
     *
     * @param p50Millis median time to the ejection
     * @param p99Millis 99th percentile of it
     * @param detections how many sick targets there were
     * @param missed how many of them were not ejected before the cap
     * @param falseEjections ejections of healthy targets
     * @param healthyTargetHours over how many hours
     */
    record Result(
            long p50Millis,
            long p99Millis,
            int detections,
            int missed,
            int falseEjections,
            double healthyTargetHours) {
        double falsePerThousandHours() {
            return falseEjections * 1_000 / healthyTargetHours;
        }
    }

    /**
     * Runs the episodes of a cell.
     *
     * @param hours healthy target-hours to come to, at least
     */
    static Result run(
            SimulatedPool pool,
            Fault fault,
            Function<SimulatedPool, EjectionPolicy> policies,
            int episodes,
            double hours,
            long seed) {
        long quietMillis = (long) (hours * MILLIS_PER_HOUR / episodes / pool.targets());
        SplittableRandom seeds = new SplittableRandom(seed);
        List<Long> detection = new ArrayList<>();
        int missed = 0;
        int falseEjections = 0;
        double healthyHours = 0;
        for (int i = 0; i < episodes; i++) {
            Episode episode =
                    new Episode(pool, fault, policies.apply(pool), seeds.split(), quietMillis);
            EpisodeResult result = episode.run();
            detection.addAll(result.detectionMillis());
            missed += result.missed();
            falseEjections += result.falseEjections();
            healthyHours += result.healthyTargetHours();
        }
        Collections.sort(detection);
        return new Result(
                percentile(detection, 50),
                percentile(detection, 99),
                detection.size(),
                missed,
                falseEjections,
                healthyHours);
    }

    private static long percentile(List<Long> sorted, int percent) {
        if (sorted.isEmpty()) {
            return -1;
        }
        int rank = (int) Math.ceil(sorted.size() * percent / 100.0);
        return sorted.get(Math.max(0, rank - 1));
    }
}
