package org.apricotgauge.decision.admission;

import org.apricotgauge.model.Checks;

/**
 * Bounds of an {@link AdmissionQueue}.
 *
 * @param slots requests that the target serves at once when nobody else uses it
 * @param maxQueued tickets that wait at once
 * @param maxMembers members told apart at once; beyond it the others share a few queues
 * @param initialServiceMicros service time assumed until some are measured
 * @param slotUse who else uses the slots
 */
public record AdmissionConfig(
        int slots, int maxQueued, int maxMembers, long initialServiceMicros, SlotUse slotUse) {
    /** Who uses the slots of a target. */
    public enum SlotUse {
        /**
         * Others use some unseen, as an older routing system; the limit follows what they leave.
         */
        SHARED,
        /**
         * The guard alone. A target that sheds with slots free is broken, not busy: with the limit
         * stepping down, targets that shed half of their requests out of a fault kept one slot of
         * three, and the rest of the requests waited past their deadlines.
         */
        EXCLUSIVE
    }

    private static final int QUEUED_PER_SLOT = 24;
    private static final int DEFAULT_MEMBERS = 1_024;
    private static final long DEFAULT_SERVICE_MICROS = 20_000;

    /** Checks the parts. */
    public AdmissionConfig {
        Checks.inRange("slots", slots, 1, 10_000);
        Checks.inRange("maxQueued", maxQueued, 1, 100_000);
        Checks.inRange("maxMembers", maxMembers, 1, 100_000);
        Checks.inRange("initialServiceMicros", initialServiceMicros, 1, 3_600_000_000L);
        Checks.notNull("use", slotUse);
    }

    /** Makes bounds of slots that others use, too. */
    public AdmissionConfig(int slots, int maxQueued, int maxMembers, long initialServiceMicros) {
        this(slots, maxQueued, maxMembers, initialServiceMicros, SlotUse.SHARED);
    }

    /** Returns the usual bounds for a target with so many slots, which others use, too. */
    public static AdmissionConfig forSlots(int slots) {
        return forSlots(slots, SlotUse.SHARED);
    }

    /** Returns the usual bounds for a target with so many slots. */
    public static AdmissionConfig forSlots(int slots, SlotUse use) {
        return new AdmissionConfig(
                slots, slots * QUEUED_PER_SLOT, DEFAULT_MEMBERS, DEFAULT_SERVICE_MICROS, use);
    }
}
