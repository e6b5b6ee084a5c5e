package org.apricotgauge.model;

/**
 * The operator's two odds, from which the thresholds of detection are worked out.
 *
 * <p>Only their ratio decides: a dear false ejection makes detection careful (Entoto), a dear
 * second of delay makes it quick (Kampsi).
 *
 * @param falseEjectionCost cost of removing one healthy target, in any unit
 * @param delayCostPerSecond cost of one second during which a sick target gets work, in the same
 *     unit
 */
public record DetectionOdds(double falseEjectionCost, double delayCostPerSecond) {
    private static final double MAX_COST = 1e9;
    private static final double MIN_COST = 1e-9;

    /** Checks the parts. */
    public DetectionOdds {
        Checks.inRange("detection.falseEjectionCost", falseEjectionCost, MIN_COST, MAX_COST);
        Checks.inRange("detection.delayCostPerSecond", delayCostPerSecond, MIN_COST, MAX_COST);
    }
}
