package org.apricotgauge.node;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Service;

/**
 * The settings of a service whose platform publishes none for it.
 *
 * @param floorPercent minimum healthy capacity that ejections may leave, in percent
 * @param detection costs of false and of delayed ejections
 * @param retryPercent maximum retries, in percent of the requests
 */
record SiteDefaults(int floorPercent, DetectionOdds detection, int retryPercent) {
    private static final int ALL_PERCENT = 100;

    /** Checks the parts. */
    SiteDefaults {
        Checks.notNull("detection", detection);
    }

    Service service(String id) {
        return new Service(id, floorPercent, detection, retryPercent, ALL_PERCENT, null);
    }
}
