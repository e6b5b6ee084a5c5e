package org.apricotgauge.decision.admission;

import org.apricotgauge.model.Checks;

/**
 * Limits of an {@link AdmissionQueue}.
 *
 * @param slots requests that the target serves at once when no other system uses it
 * @param maxQueued maximum number of queued tickets
 * @param maxMembers members that have a queue of their own; any further ones share a few queues
 * @param initialServiceMicros service time assumed until one is measured, in microseconds
 * @param slotUse whether other systems use the slots as well
 */
public record AdmissionConfig(
        int slots, int maxQueued, int maxMembers, long initialServiceMicros, SlotUse slotUse) {
    /** Who uses the slots of a target. */
    public enum SlotUse {
        /**
         * Other systems, such as an older routing system, use some of the slots; the limit adapts
         * to the slots that they leave free.
         */
        SHARED,
        /**
         * Only the guard uses the slots. A target that sheds while slots are free is faulty, not
         * busy, so the limit is constant. An adaptive limit left targets that shed half of their
         * requests due to a fault with one slot of three, and the other requests queued past their
         * deadlines.
         */
        EXCLUSIVE
    }

    private static final int QUEUED_PER_SLOT = 24;
    private static final int DEFAULT_MEMBERS = 1_024;
    private static final long DEFAULT_SERVICE_MICROS = 20_000;

    public AdmissionConfig {
        Checks.inRange("slots", slots, 1, 10_000);
        Checks.inRange("maxQueued", maxQueued, 1, 100_000);
        Checks.inRange("maxMembers", maxMembers, 1, 100_000);
        Checks.inRange("initialServiceMicros", initialServiceMicros, 1, 3_600_000_000L);
        Checks.notNull("slotUse", slotUse);
    }

    /** Creates limits for slots that other systems use as well. */
    public AdmissionConfig(int slots, int maxQueued, int maxMembers, long initialServiceMicros) {
        this(slots, maxQueued, maxMembers, initialServiceMicros, SlotUse.SHARED);
    }

    /** Returns the default limits for a target whose slots other systems use as well. */
    public static AdmissionConfig forSlots(int slots) {
        return forSlots(slots, SlotUse.SHARED);
    }

    /** Returns the default limits for a target with the given number of slots. */
    public static AdmissionConfig forSlots(int slots, SlotUse use) {
        return new AdmissionConfig(
                slots, slots * QUEUED_PER_SLOT, DEFAULT_MEMBERS, DEFAULT_SERVICE_MICROS, use);
    }
}
