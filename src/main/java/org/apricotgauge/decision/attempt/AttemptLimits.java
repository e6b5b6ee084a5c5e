package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * Bounds on the table of an {@link AttemptLedger}.
 *
 * @param maxInFlight most attempts in flight at once; more are refused
 * @param maxEnded most ended attempts kept; beyond it those with the earliest {@code
 *     latestStartMillis} are evicted, and fences for them are answered "forgotten"
 * @param maxLifetimeMillis how far ahead an attempt's latest start may lie
 * @param graceMillis how long past its latest start an attempt is kept, for fences that arrive
 *     late; a fence later than that is answered "forgotten"
 */
public record AttemptLimits(
        int maxInFlight, int maxEnded, long maxLifetimeMillis, long graceMillis) {
    /** Bounds for a guard of a target with up to ten slots; they limit the table to about 8 MB. */
    public static final AttemptLimits DEFAULT = new AttemptLimits(4_096, 32_768, 120_000, 10_000);

    private static final long MAX_MILLIS = 86_400_000;

    public AttemptLimits {
        Checks.inRange("maxInFlight", maxInFlight, 1, 1_000_000);
        Checks.inRange("maxEnded", maxEnded, 1, 10_000_000);
        Checks.inRange("maxLifetimeMillis", maxLifetimeMillis, 1, MAX_MILLIS);
        Checks.inRange("graceMillis", graceMillis, 0, MAX_MILLIS);
    }
}
