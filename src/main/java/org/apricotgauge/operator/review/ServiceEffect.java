package org.apricotgauge.operator.review;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;

/**
 * One service that a patch touches, before and after.
 *
 * @param service name of the service
 * @param before its capacity before; {@link Capacity#NONE} if it was not there
 * @param after its capacity after; {@link Capacity#NONE} if it is gone
 */
record ServiceEffect(String service, Capacity before, Capacity after) {

    static ServiceEffect of(String service, Configuration before, Configuration after) {
        return new ServiceEffect(
                service, Capacity.of(service, before), Capacity.of(service, after));
    }

    /** Returns whether the patch takes the last target. */
    boolean losesAllTargets() {
        return before.targets() > 0 && after.targets() == 0;
    }

    /** Returns whether the patch takes more than detection might have ejected before it. */
    boolean fallsBelowOldFloor() {
        return after.slots() < before.floorSlots();
    }

    /** Returns whether the share of the requests that the fleet serves changes. */
    boolean movesShare() {
        return before.fleetSharePercent() != after.fleetSharePercent();
    }

    /**
     * The capacity of a service against its floor.
     *
     * @param targets number of its targets
     * @param slots slots of all of them
     * @param floorSlots least number of slots that ejections must leave
     * @param slotsWithoutLargestDomain slots left if the failure domain with the most is lost
     * @param fleetSharePercent share of the requests that the fleet serves; 0 without a service
     */
    record Capacity(
            int targets,
            int slots,
            int floorSlots,
            int slotsWithoutLargestDomain,
            int fleetSharePercent) {
        static final Capacity NONE = new Capacity(0, 0, 0, 0, 0);

        static Capacity of(String id, Configuration configuration) {
            Service service = configuration.service(id);
            if (service == null) {
                return NONE;
            }
            Collection<Target> targets = configuration.targetsOf(id);
            Map<String, Integer> slotsByDomain = new HashMap<>();
            targets.forEach(t -> slotsByDomain.merge(t.failureDomain(), t.slots(), Integer::sum));
            int slots = targets.stream().mapToInt(Target::slots).sum();
            int largest = slotsByDomain.values().stream().mapToInt(n -> n).max().orElse(0);
            return new Capacity(
                    targets.size(),
                    slots,
                    service.floorSlots(slots),
                    slots - largest,
                    service.fleetSharePercent());
        }

        /** Returns how many slots detection may eject at once. */
        int ejectableSlots() {
            return slots - floorSlots;
        }

        /** Returns whether the loss of one failure domain leaves less than the floor. */
        boolean isBelowFloorWithoutLargestDomain() {
            return slotsWithoutLargestDomain < floorSlots;
        }
    }
}
