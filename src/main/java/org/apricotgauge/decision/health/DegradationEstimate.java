package org.apricotgauge.decision.health;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * Estimated probability that a target is degraded, now and later without further observations.
 *
 * <pre>{@code
 * DegradationEstimate estimate = gate.estimate(nowMillis);
 * double probability = estimate.probabilityAt(nowMillis + 500);
 * }</pre>
 *
 * @param probability probability at {@code atMillis}, from 0 to 1
 * @param baseline long-run probability to which the estimate decays, from 0 to 1
 * @param decayMillis time in which the difference falls to 1/e, in milliseconds
 * @param atMillis time of the estimate by its owner's clock, in milliseconds
 */
public record DegradationEstimate(
        double probability, double baseline, double decayMillis, long atMillis) {

    private static final double PERMILLE = 1_000.0;

    public DegradationEstimate {
        Checks.inRange("estimate.probability", probability, 0.0, 1.0);
        Checks.inRange("estimate.baseline", baseline, 0.0, 1.0);
        Checks.inRange("estimate.decayMillis", decayMillis, 1.0, 1e9);
    }

    /** Returns the report to send to other nodes. */
    public Report toReport(long nowMillis) {
        return new Report(
                (int) Math.round(PERMILLE * probabilityAt(nowMillis)),
                (int) Math.round(PERMILLE * baseline),
                Math.round(decayMillis));
    }

    /**
     * Estimate as sent to other nodes; it carries no time, and receivers add the time of receipt.
     *
     * @param probabilityPermille probability that the target is degraded, in permille
     * @param baselinePermille long-run probability to which the estimate decays, in permille
     * @param decayMillis time in which the difference falls to 1/e, in milliseconds
     */
    public record Report(int probabilityPermille, int baselinePermille, long decayMillis) {
        private static final String SEPARATOR = ",";
        private static final int FIELDS = 3;

        public Report {
            Checks.inRange("health.probability", probabilityPermille, 0, 1_000);
            Checks.inRange("health.baseline", baselinePermille, 0, 1_000);
            Checks.inRange("health.decayMillis", decayMillis, 1, 1_000_000_000);
        }

        /** Returns the estimate as of the time at which the report was received. */
        public DegradationEstimate receivedAt(long nowMillis) {
            return new DegradationEstimate(
                    probabilityPermille / PERMILLE,
                    baselinePermille / PERMILLE,
                    decayMillis,
                    nowMillis);
        }

        /** Returns the text for a header. */
        public String toText() {
            return probabilityPermille + SEPARATOR + baselinePermille + SEPARATOR + decayMillis;
        }

        /** Parses the text of a header; returns empty if it is null or malformed. */
        public static Optional<Report> parse(String text) {
            String[] fields = text == null ? new String[0] : text.split(SEPARATOR);
            if (fields.length != FIELDS) {
                return Optional.empty();
            }
            try {
                return Optional.of(
                        new Report(
                                Integer.parseInt(fields[0]),
                                Integer.parseInt(fields[1]),
                                Long.parseLong(fields[2])));
            } catch (IllegalArgumentException e) {
                return Optional.empty();
            }
        }
    }

    /** Returns the estimate for a target without any observations. */
    public static DegradationEstimate unknown() {
        return new DegradationFilter().estimate(0);
    }

    /** Returns an estimate of at least a probability, after the target or the path to it failed. */
    public DegradationEstimate withMinimum(double minProbability, long nowMillis) {
        return new DegradationEstimate(
                Math.max(minProbability, probabilityAt(nowMillis)),
                baseline,
                decayMillis,
                nowMillis);
    }

    /** Returns the probability at a later time without further observations. */
    public double probabilityAt(long nowMillis) {
        double elapsedMillis = Math.max(0, nowMillis - atMillis);
        return baseline + (probability - baseline) * Math.exp(-elapsedMillis / decayMillis);
    }
}
