package org.apricotgauge.operator;

import java.util.Map;
import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * What a node counted while one version of the configuration was in force.
 *
 * @param version the version
 * @param millisInForce how long it was, or has been, in force at this node
 * @param total counts over all services
 * @param services counts by the service's id, so far as they are told of; services without any are
 *     left out
 */
public record VersionWindow(
        long version,
        long millisInForce,
        OutcomeCounts total,
        Map<String, OutcomeCounts> services) {

    /** Checks the parts. */
    public VersionWindow {
        Checks.inRange("window.version", version, 0, Long.MAX_VALUE);
        Checks.inRange("window.millisInForce", millisInForce, 0, Long.MAX_VALUE);
        Checks.notNull("window.total", total);
        services = Map.copyOf(services);
    }

    /** Returns a window whose total is the sum over its services. */
    static VersionWindow of(long version, long millisInForce, Map<String, OutcomeCounts> services) {
        OutcomeCounts total =
                services.values().stream().reduce(OutcomeCounts.ZERO, OutcomeCounts::plus);
        return new VersionWindow(version, millisInForce, total, services);
    }

    /** Returns this window with the counts of one service only, or of none. */
    VersionWindow onlyService(Optional<String> service) {
        OutcomeCounts counts = service.map(services::get).orElse(null);
        return new VersionWindow(
                version,
                millisInForce,
                total,
                counts == null ? Map.of() : Map.of(service.get(), counts));
    }

    /** Returns the counts over all services, or of one if it is named. */
    public OutcomeCounts counts(Optional<String> service) {
        return service.map(id -> services.getOrDefault(id, OutcomeCounts.ZERO)).orElse(total);
    }
}
