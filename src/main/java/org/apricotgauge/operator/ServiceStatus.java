package org.apricotgauge.operator;

import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * How a node sees one service.
 *
 * @param service id of the service
 * @param targets targets that the configuration gives it
 * @param leaving ids of those that are leaving
 * @param ejected ids of those that this node has ejected
 */
public record ServiceStatus(
        String service, int targets, List<String> leaving, List<String> ejected) {

    /** Checks the parts. */
    public ServiceStatus {
        Checks.id("status.service", service);
        Checks.inRange("status.targets", targets, 0, Integer.MAX_VALUE);
        leaving = List.copyOf(leaving);
        ejected = List.copyOf(ejected);
    }
}
