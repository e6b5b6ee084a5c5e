package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * Bounds and guarantees of an {@link IdempotencyLedger}.
 *
 * @param maxKeys most keys kept at once; more are refused, and none is evicted early
 * @param maxBodyBytes most bytes of stored bodies over all keys; beyond it the oldest are dropped
 * @param retentionMillis how long a key is kept after its request ended
 * @param newOwnerPolicy policy of a guard that has owned the key for less than the retention
 */
public record KeyLimits(
        int maxKeys, long maxBodyBytes, long retentionMillis, NewOwnerPolicy newOwnerPolicy) {
    /** Keeps keys for two minutes and 8 MB of bodies; refuses keys with an unknown history. */
    public static final KeyLimits DEFAULT =
            new KeyLimits(20_000, 8_000_000, 120_000, NewOwnerPolicy.REFUSE);

    private static final long MAX_MILLIS = 86_400_000;

    /** Policy of a guard that became a key's owner within the retention. */
    public enum NewOwnerPolicy {
        /** Refuses as not run until the retention has passed; the guarantee survives restarts. */
        REFUSE,
        /** Runs the request; a key used just before a restart can run once more. */
        RUN
    }

    /**
     * Checks that a key is kept at least as long as an attempt with it may still arrive.
     *
     * @throws IllegalArgumentException if the retention is shorter than an attempt's lifetime
     */
    public void requireCovers(AttemptLimits attempts) {
        Checks.inRange(
                "retentionMillis", retentionMillis, attempts.maxLifetimeMillis(), MAX_MILLIS);
    }

    public KeyLimits {
        Checks.inRange("maxKeys", maxKeys, 1, 1_000_000);
        Checks.inRange("maxBodyBytes", maxBodyBytes, 0, 1_000_000_000);
        Checks.inRange("retentionMillis", retentionMillis, 1, MAX_MILLIS);
        Checks.notNull("newOwnerPolicy", newOwnerPolicy);
    }
}
