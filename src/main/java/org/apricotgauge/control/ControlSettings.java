package org.apricotgauge.control;

import java.util.List;
import org.apricotgauge.decision.gossip.GossipSettings;
import org.apricotgauge.decision.gossip.NodeIdentity;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Vm;

/**
 * Settings of one control plane.
 *
 * <pre>{@code
 * ControlSettings settings = ControlSettings.of("kampsi", vm).withSeeds(List.of(address));
 * }</pre>
 *
 * @param site name of the site; nodes of different sites exchange no messages
 * @param vm the node's own VM; a {@code peerPort} of 0 selects any free port
 * @param incarnation number of this run of the node, higher than that of the previous run
 * @param seeds peers to connect to while the platform lists none; may be empty
 * @param gossip limits and intervals of the gossip protocol
 * @param watchTimeoutMillis how long a watch waits at the platform, in milliseconds
 * @param readinessTimeoutMillis time after which a new node becomes ready with the responses it
 *     has, in milliseconds
 * @param startJitterMillis period over which a new node's first calls are spread, in milliseconds;
 *     about 8,000 where a whole fleet can start at once, so that not all nodes call the platform
 *     within one second
 * @param seed seed of random choices
 */
public record ControlSettings(
        String site,
        Vm vm,
        long incarnation,
        List<Address> seeds,
        GossipSettings gossip,
        long watchTimeoutMillis,
        long readinessTimeoutMillis,
        long startJitterMillis,
        long seed) {
    private static final long WATCH_TIMEOUT_MILLIS = 20_000;
    private static final long READINESS_TIMEOUT_MILLIS = 10_000;
    private static final long START_JITTER_MILLIS = 2_000;
    private static final long MAX_MILLIS = 600_000;

    /** Validates the components. */
    public ControlSettings {
        Checks.id("site", site);
        Checks.notNull("vm", vm);
        Checks.inRange("incarnation", incarnation, 1, NodeIdentity.MAX_INCARNATION);
        seeds = List.copyOf(Checks.notNull("seeds", seeds));
        Checks.notNull("gossip", gossip);
        Checks.inRange("watchTimeoutMillis", watchTimeoutMillis, 1, MAX_MILLIS);
        Checks.inRange("readinessTimeoutMillis", readinessTimeoutMillis, 0, MAX_MILLIS);
        Checks.inRange("startJitterMillis", startJitterMillis, 0, MAX_MILLIS);
    }

    /** Returns the default settings, with the wall clock as incarnation. */
    public static ControlSettings of(String site, Vm vm) {
        long nowMillis = System.currentTimeMillis();
        return new ControlSettings(
                site,
                vm,
                nowMillis,
                List.of(),
                GossipSettings.DEFAULT,
                WATCH_TIMEOUT_MILLIS,
                READINESS_TIMEOUT_MILLIS,
                START_JITTER_MILLIS,
                nowMillis ^ vm.id().hashCode());
    }

    /** Returns these settings with the given seeds. */
    public ControlSettings withSeeds(List<Address> newSeeds) {
        return new ControlSettings(
                site,
                vm,
                incarnation,
                newSeeds,
                gossip,
                watchTimeoutMillis,
                readinessTimeoutMillis,
                startJitterMillis,
                seed);
    }

    /** Returns these settings with the given jitter of the first calls. */
    public ControlSettings withStartJitterMillis(long millis) {
        return new ControlSettings(
                site,
                vm,
                incarnation,
                seeds,
                gossip,
                watchTimeoutMillis,
                readinessTimeoutMillis,
                millis,
                seed);
    }

    ControlSettings withPeerPort(int port) {
        Vm bound =
                new Vm(
                        vm.id(),
                        vm.failureDomain(),
                        vm.host(),
                        vm.callerPort(),
                        vm.guardPort(),
                        port,
                        vm.adminPort());
        return new ControlSettings(
                site,
                bound,
                incarnation,
                seeds,
                gossip,
                watchTimeoutMillis,
                readinessTimeoutMillis,
                startJitterMillis,
                seed);
    }
}
