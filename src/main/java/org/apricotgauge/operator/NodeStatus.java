package org.apricotgauge.operator;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.apricotgauge.model.Checks;

/**
 * What a node tells operators of itself; the answer of {@code /status}.
 *
 * @param vm id of its VM
 * @param failureDomain failure domain of its VM
 * @param release release of the program
 * @param incarnation tells this run of the node from others
 * @param phase what it does for callers now
 * @param version version of the configuration in force; 0 for none
 * @param digest digest chained over all versions up to it; empty for none
 * @param listPosition place in the platform's list of patches that was read last
 * @param services the services that the node serves
 * @param windows counts for each of the last versions, the oldest first
 */
public record NodeStatus(
        String vm,
        String failureDomain,
        String release,
        long incarnation,
        NodePhase phase,
        long version,
        String digest,
        long listPosition,
        List<ServiceStatus> services,
        List<VersionWindow> windows) {

    /** Checks the parts. */
    public NodeStatus {
        Checks.id("status.vm", vm);
        Checks.id("status.failureDomain", failureDomain);
        Checks.notBlank("status.release", release);
        Checks.notNull("status.phase", phase);
        Checks.inRange("status.version", version, 0, Long.MAX_VALUE);
        Checks.notNull("status.digest", digest);
        services = List.copyOf(services);
        windows = List.copyOf(windows);
    }

    /**
     * Returns this status narrowed to one service, or, if none is named, to the services that have
     * leaving or ejected targets and to totals: a node may serve thousands of services, and the
     * whole would cost a megabyte for each time it is asked.
     */
    NodeStatus narrowed(Optional<String> service) {
        Predicate<ServiceStatus> isTold =
                service.isPresent()
                        ? one -> one.service().equals(service.get())
                        : one -> !one.leaving().isEmpty() || !one.ejected().isEmpty();
        return new NodeStatus(
                vm,
                failureDomain,
                release,
                incarnation,
                phase,
                version,
                digest,
                listPosition,
                services.stream().filter(isTold).toList(),
                windows.stream().map(window -> window.onlyService(service)).toList());
    }
}
