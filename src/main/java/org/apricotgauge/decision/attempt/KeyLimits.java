package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * Bounds and promise of an {@link IdempotencyLedger}.
 *
 * @param maxKeys keys remembered at once; more are refused, none is forgotten early
 * @param maxBodyBytes bytes of stored bodies over all keys; beyond it the oldest are dropped
 * @param retentionMillis how long a key is remembered after its request ended
 * @param newOwnerPolicy what a guard does while its memory is younger than the retention
 */
public record KeyLimits(
        int maxKeys, long maxBodyBytes, long retentionMillis, NewOwnerPolicy newOwnerPolicy) {
    /** Keys for two minutes, 8 MB of bodies, and never a guess. */
    public static final KeyLimits DEFAULT =
            new KeyLimits(20_000, 8_000_000, 120_000, NewOwnerPolicy.REFUSE);

    private static final long MAX_MILLIS = 86_400_000;

    /** What a guard that became a key's home lately does with the key. */
    public enum NewOwnerPolicy {
        /** Refuses it as not run until the retention has passed: the promise survives restarts. */
        REFUSE,
        /** Runs it: a key used just before the restart can run once more. */
        RUN
    }

    /**
     * Checks that a key is remembered for longer than any attempt with it may still arrive.
     *
     * @throws IllegalArgumentException if the retention is shorter than an attempt's lifetime
     */
    public void requireCovers(AttemptLimits attempts) {
        Checks.inRange(
                "retentionMillis", retentionMillis, attempts.maxLifetimeMillis(), MAX_MILLIS);
    }

    /** Checks the parts. */
    public KeyLimits {
        Checks.inRange("maxKeys", maxKeys, 1, 1_000_000);
        Checks.inRange("maxBodyBytes", maxBodyBytes, 0, 1_000_000_000);
        Checks.inRange("retentionMillis", retentionMillis, 1, MAX_MILLIS);
        Checks.notNull("newHomePolicy", newOwnerPolicy);
    }
}
