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
 * @param sick probability at {@code atMillis}, from 0 to 1
 * @param usual probability that it returns to, from 0 to 1
 * @param forgetMillis time in which the difference falls to 1/e, in milliseconds
 * @param atMillis when it was worked out, in milliseconds of its owner's clock
 */
public record HealthOutlook(double sick, double usual, double forgetMillis, long atMillis) {

    private static final double PERMILLE = 1_000.0;

    /** Checks the parts. */
    public HealthOutlook {
        Checks.inRange("outlook.sick", sick, 0.0, 1.0);
        Checks.inRange("outlook.usual", usual, 0.0, 1.0);
        Checks.inRange("outlook.forgetMillis", forgetMillis, 1.0, 1e9);
    }

    /** Returns the part that is told to others, who add when they heard of it. */
    public Told told(long nowMillis) {
        return new Told(
                (int) Math.round(PERMILLE * sickAt(nowMillis)),
                (int) Math.round(PERMILLE * usual),
                Math.round(forgetMillis));
    }

    /**
     * An outlook on its way to another node.
     *
     * @param sickPermille probability that the target is sick, in permille
     * @param usualPermille probability that it returns to, in permille
     * @param forgetMillis time in which the difference falls to 1/e, in milliseconds
     */
    public record Told(int sickPermille, int usualPermille, long forgetMillis) {
        private static final String SEPARATOR = ",";
        private static final int FIELDS = 3;

        /** Checks the parts. */
        public Told {
            Checks.inRange("health.sick", sickPermille, 0, 1_000);
            Checks.inRange("health.usual", usualPermille, 0, 1_000);
            Checks.inRange("health.forget", forgetMillis, 1, 1_000_000_000);
        }

        /** Returns the outlook as of the moment at which it was heard of. */
        public HealthOutlook heardAt(long nowMillis) {
            return new HealthOutlook(
                    sickPermille / PERMILLE, usualPermille / PERMILLE, forgetMillis, nowMillis);
        }

        /** Returns the text of a header. */
        public String toText() {
            return sickPermille + SEPARATOR + usualPermille + SEPARATOR + forgetMillis;
        }

        /** Reads the text of a header; nothing if there is none or it is malformed. */
        public static Optional<Told> parse(String text) {
            String[] fields = text == null ? new String[0] : text.split(SEPARATOR);
            if (fields.length != FIELDS) {
                return Optional.empty();
            }
            try {
                return Optional.of(
                        new Told(
                                Integer.parseInt(fields[0]),
                                Integer.parseInt(fields[1]),
                                Long.parseLong(fields[2])));
            } catch (IllegalArgumentException e) {
                return Optional.empty();
            }
        }
    }

    /** Returns what is known of a target of which nobody has heard anything. */
    public static HealthOutlook unknown() {
        return new HealthFilter().outlook(0);
    }

    /** Returns the outlook right after the path to the target, or the target, has failed. */
    public HealthOutlook distrusted(double distrust, long nowMillis) {
        return new HealthOutlook(
                Math.max(distrust, sickAt(nowMillis)), usual, forgetMillis, nowMillis);
    }

    /** Returns the probability at a later moment without news in between. */
    public double sickAt(long nowMillis) {
        double passedMillis = Math.max(0, nowMillis - atMillis);
        return usual + (sick - usual) * Math.exp(-passedMillis / forgetMillis);
    }
}
