package org.apricotgauge.standin;

import org.apricotgauge.model.Checks;

/**
 * What is wrong with a target stand-in; its health answer stays good throughout.
 *
 * @param errorPercent share of real work that is answered with 500
 * @param shedPercent share of real work that is shed with 503
 * @param slowFactor how many times longer real work takes
 * @param stallPercent share of real work that is accepted and never answered
 * @param truncatePercent share of answers that break off in the middle
 */
public record Fault(
        int errorPercent,
        int shedPercent,
        double slowFactor,
        int stallPercent,
        int truncatePercent) {
    /** Nothing is wrong. */
    public static final Fault NONE = new Fault(0, 0, 1.0, 0, 0);

    private static final int ALL_PERCENT = 100;
    private static final double MAX_FACTOR = 10_000;

    /** Checks the parts. */
    public Fault {
        Checks.inRange("errorPercent", errorPercent, 0, ALL_PERCENT);
        Checks.inRange("shedPercent", shedPercent, 0, ALL_PERCENT);
        Checks.inRange("slowFactor", slowFactor, 1.0, MAX_FACTOR);
        Checks.inRange("stallPercent", stallPercent, 0, ALL_PERCENT);
        Checks.inRange("truncatePercent", truncatePercent, 0, ALL_PERCENT);
    }
}
