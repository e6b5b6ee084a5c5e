package org.apricotgauge.decision.admission;

import org.apricotgauge.model.Checks;

/**
 * Bounds of an {@link AdmissionQueue}.
 *
 * @param slots requests that the target serves at once when nobody else uses it
 * @param maxQueued tickets that wait at once
 * @param maxMembers members told apart at once; beyond it the others share a few queues
 * @param initialServiceMicros service time assumed until some are measured
 */
public record AdmissionConfig(int slots, int maxQueued, int maxMembers, long initialServiceMicros) {
    private static final int QUEUED_PER_SLOT = 24;
    private static final int DEFAULT_MEMBERS = 1_024;
    private static final long DEFAULT_SERVICE_MICROS = 20_000;

    /** Checks the parts. */
    public AdmissionConfig {
        Checks.inRange("slots", slots, 1, 10_000);
        Checks.inRange("maxQueued", maxQueued, 1, 100_000);
        Checks.inRange("maxMembers", maxMembers, 1, 100_000);
        Checks.inRange("initialServiceMicros", initialServiceMicros, 1, 3_600_000_000L);
    }

    /** Returns the usual bounds for a target with so many slots. */
    public static AdmissionConfig forSlots(int slots) {
        return new AdmissionConfig(
                slots, slots * QUEUED_PER_SLOT, DEFAULT_MEMBERS, DEFAULT_SERVICE_MICROS);
    }
}
