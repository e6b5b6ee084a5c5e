package org.apricotgauge.decision.health;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * How likely a target is to be sick, now and for some time without further news; immutable.
 *
 * <pre>{@code
 * HealthOutlook outlook = gate.outlook(nowMillis);
 * double sick = outlook.sickAt(nowMillis + 500);
 * }</pre>
 *
 * @param probability probability at {@code atMillis}, from 0 to 1
 * @param baseline probability that it returns to, from 0 to 1
 * @param decayMillis time in which the difference falls to 1/e, in milliseconds
 * @param atMillis when it was worked out, in milliseconds of its owner's clock
 */
public record DegradationEstimate(
        double probability, double baseline, double decayMillis, long atMillis) {

    private static final double PERMILLE = 1_000.0;

    /** Checks the parts. */
    public DegradationEstimate {
        Checks.inRange("outlook.sick", probability, 0.0, 1.0);
        Checks.inRange("outlook.usual", baseline, 0.0, 1.0);
        Checks.inRange("outlook.forgetMillis", decayMillis, 1.0, 1e9);
    }

    /** Returns the part that is told to others, who add when they heard of it. */
    public Report toReport(long nowMillis) {
        return new Report(
                (int) Math.round(PERMILLE * probabilityAt(nowMillis)),
                (int) Math.round(PERMILLE * baseline),
                Math.round(decayMillis));
    }

    /**
     * An outlook on its way to another node.
     *
     * @param probabilityPermille probability that the target is sick, in permille
     * @param baselinePermille probability that it returns to, in permille
     * @param decayMillis time in which the difference falls to 1/e, in milliseconds
     */
    public record Report(int probabilityPermille, int baselinePermille, long decayMillis) {
        private static final String SEPARATOR = ",";
        private static final int FIELDS = 3;

        /** Checks the parts. */
        public Report {
            Checks.inRange("health.sick", probabilityPermille, 0, 1_000);
            Checks.inRange("health.usual", baselinePermille, 0, 1_000);
            Checks.inRange("health.forget", decayMillis, 1, 1_000_000_000);
        }

        /** Returns the outlook as of the moment at which it was heard of. */
        public DegradationEstimate receivedAt(long nowMillis) {
            return new DegradationEstimate(
                    probabilityPermille / PERMILLE,
                    baselinePermille / PERMILLE,
                    decayMillis,
                    nowMillis);
        }

        /** Returns the text of a header. */
        public String toText() {
            return probabilityPermille + SEPARATOR + baselinePermille + SEPARATOR + decayMillis;
        }

        /** Reads the text of a header; nothing if there is none or it is malformed. */
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

    /** Returns what is known of a target of which nobody has heard anything. */
    public static DegradationEstimate unknown() {
        return new DegradationFilter().estimate(0);
    }

    /** Returns the outlook right after the path to the target, or the target, has failed. */
    public DegradationEstimate withMinimum(double distrust, long nowMillis) {
        return new DegradationEstimate(
                Math.max(distrust, probabilityAt(nowMillis)), baseline, decayMillis, nowMillis);
    }

    /** Returns the probability at a later moment without news in between. */
    public double probabilityAt(long nowMillis) {
        double passedMillis = Math.max(0, nowMillis - atMillis);
        return baseline + (probability - baseline) * Math.exp(-passedMillis / decayMillis);
    }
}
