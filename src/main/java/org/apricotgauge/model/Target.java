package org.apricotgauge.model;

/**
 * One back end of a service.
 *
 * @param id name of the target, unique over all services
 * @param service the service it belongs to
 * @param vm the VM it runs on
 * @param failureDomain the failure domain of that VM
 * @param host IP number at which it serves HTTP
 * @param port port at which it serves HTTP
 * @param slots how many requests it runs at a time
 */
public record Target(
        String id,
        String service,
        String vm,
        String failureDomain,
        String host,
        int port,
        int slots) {
    private static final int MAX_SLOTS = 10_000;

    /** Checks the parts. */
    public Target {
        Checks.id("target.id", id);
        Checks.id("target.service", service);
        Checks.id("target.vm", vm);
        Checks.id("target.failureDomain", failureDomain);
        Checks.notBlank("target.host", host);
        Checks.port("target.port", port);
        Checks.inRange("target.slots", slots, 1, MAX_SLOTS);
    }

    /** Returns this target with another number of slots. */
    public Target withSlots(int number) {
        return new Target(id, service, vm, failureDomain, host, port, number);
    }

    // Written out: the methods that a record inherits are linked when they are first called, which
    // takes milliseconds of a node's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Target that
                && port == that.port
                && slots == that.slots
                && id.equals(that.id)
                && service.equals(that.service)
                && vm.equals(that.vm)
                && failureDomain.equals(that.failureDomain)
                && host.equals(that.host);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * id.hashCode() + host.hashCode()) + port;
    }
}
