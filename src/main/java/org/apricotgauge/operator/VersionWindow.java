package org.apricotgauge.operator;

import java.util.Map;
import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * What a node counted while one version of the configuration was in force.
 *
 * @param version the version
 * @param millisInForce how long it was, or has been, in force at this node
 * @param services counts by the service's id; services without any are left out
 */
public record VersionWindow(long version, long millisInForce, Map<String, OutcomeCounts> services) {

    /** Checks the parts. */
    public VersionWindow {
        Checks.inRange("window.version", version, 0, Long.MAX_VALUE);
        Checks.inRange("window.millisInForce", millisInForce, 0, Long.MAX_VALUE);
        services = Map.copyOf(services);
    }

    /** Returns this window with the counts of one service only. */
    VersionWindow onlyService(String service) {
        OutcomeCounts counts = services.get(service);
        return new VersionWindow(
                version, millisInForce, counts == null ? Map.of() : Map.of(service, counts));
    }

    /** Returns the counts over all services, or of one if it is named. */
    public OutcomeCounts total(Optional<String> service) {
        if (service.isPresent()) {
            return services.getOrDefault(service.get(), OutcomeCounts.ZERO);
        }
        return services.values().stream().reduce(OutcomeCounts.ZERO, OutcomeCounts::plus);
    }
}
