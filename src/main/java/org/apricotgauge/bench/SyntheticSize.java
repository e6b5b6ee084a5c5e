package org.apricotgauge.bench;

/**
 * How much a synthetic configuration holds.
 *
 * @param services number of services
 * @param targets number of targets
 * @param vms number of VMs that hold the targets
 * @param routes number of routes
 * @param members number of members
 */
record SyntheticSize(int services, int targets, int vms, int routes, int members) {
    /** The size that the users expect within two years. */
    static final SyntheticSize FULL = new SyntheticSize(3_900, 74_000, 7_100, 33_000, 220_000);

    /** Returns this size divided, at least one of each. */
    SyntheticSize dividedBy(int divisor) {
        return new SyntheticSize(
                Math.max(1, services / divisor),
                Math.max(1, targets / divisor),
                Math.max(1, vms / divisor),
                Math.max(1, routes / divisor),
                Math.max(1, members / divisor));
    }

    int entities() {
        return services + targets + routes + members;
    }
}
