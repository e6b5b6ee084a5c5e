package org.apricotgauge.model;

/**
 * A service: a set of interchangeable targets, with its limits.
 *
 * @param id name of the service
 * @param floorPercent least healthy capacity that ejections may leave, in percent of the configured
 *     slots, rounded up to whole slots
 * @param detection the two odds of detection
 * @param retryBudgetPercent most retries, in percent of the service's requests
 * @param fleetSharePercent share of the requests that the fleet serves itself; the rest goes to the
 *     older routing system
 * @param predecessor address of the older routing system, or null where there is none
 */
public record Service(
        String id,
        int floorPercent,
        DetectionOdds detection,
        int retryBudgetPercent,
        int fleetSharePercent,
        Address predecessor) {
    private static final int ALL_PERCENT = 100;

    /** Checks the parts. */
    public Service {
        Checks.id("service.id", id);
        Checks.inRange("service.floorPercent", floorPercent, 0, ALL_PERCENT);
        Checks.notNull("service.detection", detection);
        Checks.inRange("service.retryBudgetPercent", retryBudgetPercent, 0, ALL_PERCENT);
        Checks.inRange("service.fleetSharePercent", fleetSharePercent, 0, ALL_PERCENT);
        if (fleetSharePercent < ALL_PERCENT && predecessor == null) {
            throw new IllegalArgumentException(
                    "service.predecessor must be given while service.fleetSharePercent is "
                            + fleetSharePercent);
        }
    }

    /**
     * Returns the least number of slots that ejections must leave.
     *
     * @param configuredSlots slots of all configured targets of the service
     */
    public int floorSlots(int configuredSlots) {
        return (int) (((long) configuredSlots * floorPercent + ALL_PERCENT - 1) / ALL_PERCENT);
    }

    /** Returns this service with another floor. */
    public Service withFloorPercent(int percent) {
        return new Service(
                id, percent, detection, retryBudgetPercent, fleetSharePercent, predecessor);
    }

    /** Returns this service with other odds of detection. */
    public Service withDetection(DetectionOdds odds) {
        return new Service(
                id, floorPercent, odds, retryBudgetPercent, fleetSharePercent, predecessor);
    }

    /** Returns this service with another retry budget. */
    public Service withRetryBudgetPercent(int percent) {
        return new Service(id, floorPercent, detection, percent, fleetSharePercent, predecessor);
    }

    /** Returns this service with another share of the fleet. */
    public Service withFleetSharePercent(int percent) {
        return new Service(id, floorPercent, detection, retryBudgetPercent, percent, predecessor);
    }

    /** Returns this service with another address of the older routing system, or with null. */
    public Service withPredecessor(Address address) {
        return new Service(
                id, floorPercent, detection, retryBudgetPercent, fleetSharePercent, address);
    }
}
