package org.apricotgauge.bench.policy;

import org.apricotgauge.model.DetectionOdds;

/**
 * The pool of a simulation.
 *
 * @param name what the table calls it
 * @param targets number of targets, spread over three failure domains
 * @param slots slots of each target
 * @param dayRatePerSecond requests a second to each target in the quiet hours
 * @param peakRatePerSecond requests a second to each target when the fault begins
 * @param odds the odds of the service
 * @param capMillis time after which a fault counts as not detected
 */
public record SimulatedPool(
        String name,
        int targets,
        int slots,
        double dayRatePerSecond,
        double peakRatePerSecond,
        DetectionOdds odds,
        long capMillis) {
    /** Number of failure domains. */
    public static final int FAILURE_DOMAINS = 3;

    /** Floor of the simulated services, in percent of the configured slots. */
    public static final int FLOOR_PERCENT = 60;

    private static final double THIN_RATE_PER_SECOND = 0.2;
    private static final int THIN_CAP_FACTOR = 20;

    /** Returns Entoto's pool: three slots, false ejections dearer than delay. */
    public static SimulatedPool entoto(int targets) {
        return new SimulatedPool(
                "Entoto " + targets + "x3", targets, 3, 2, 10, new DetectionOdds(5, 1), 300_000);
    }

    /** Returns Kampsi's pool: seven slots, delay dearer than false ejections. */
    public static SimulatedPool kampsi(int targets) {
        return new SimulatedPool(
                "Kampsi " + targets + "x7", targets, 7, 5, 50, new DetectionOdds(1, 20), 120_000);
    }

    /** Returns the same pool with hardly any traffic. */
    public SimulatedPool thin() {
        return new SimulatedPool(
                name,
                targets,
                slots,
                THIN_RATE_PER_SECOND,
                THIN_RATE_PER_SECOND,
                odds,
                THIN_CAP_FACTOR * capMillis);
    }
}
