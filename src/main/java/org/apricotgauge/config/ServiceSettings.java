package org.apricotgauge.config;

import org.apricotgauge.model.Service;

/** Changes of one setting of a service. */
final class ServiceSettings {

    private ServiceSettings() {}

    /**
     * Returns the service with the setting changed.
     *
     * @throws IllegalArgumentException if the setting is out of range or does not fit the rest
     */
    static Service change(Service service, PatchOperation operation) {
        if (operation instanceof PatchOperation.SetFloorPercent set) {
            return service.withFloorPercent(set.floorPercent());
        }
        if (operation instanceof PatchOperation.SetDetection set) {
            return service.withDetection(set.detection());
        }
        if (operation instanceof PatchOperation.SetRetryBudget set) {
            return service.withRetryBudgetPercent(set.retryBudgetPercent());
        }
        if (operation instanceof PatchOperation.SetFleetShare set) {
            return service.withFleetSharePercent(set.fleetSharePercent());
        }
        if (operation instanceof PatchOperation.SetPredecessor set) {
            return service.withPredecessor(set.predecessor());
        }
        throw new IllegalStateException("no change of a service: " + operation);
    }
}
