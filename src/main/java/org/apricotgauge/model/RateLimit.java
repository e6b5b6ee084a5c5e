package org.apricotgauge.model;

/**
 * How many requests a member may have run, over all nodes together.
 *
 * @param requestsPerSecond rate that it may ask for the whole time, above 0
 * @param burst requests that it may save up beside that
 */
public record RateLimit(double requestsPerSecond, double burst) {
    private static final double MIN_PER_SECOND = 1e-6;
    private static final double MAX = 1e9;

    /** Checks the parts. */
    public RateLimit {
        Checks.inRange("limit.requestsPerSecond", requestsPerSecond, MIN_PER_SECOND, MAX);
        Checks.inRange("limit.burst", burst, 0.0, MAX);
    }
}
