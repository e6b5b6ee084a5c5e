package org.apricotgauge.model;

/**
 * A service's part of a route's requests.
 *
 * @param service the service
 * @param weight its part relative to the other weights of the route; 0 for none
 */
public record ServiceShare(String service, int weight) {
    private static final int MAX_WEIGHT = 1_000_000;

    /** Checks the parts. */
    public ServiceShare {
        Checks.id("share.service", service);
        Checks.inRange("share.weight", weight, 0, MAX_WEIGHT);
    }
}
