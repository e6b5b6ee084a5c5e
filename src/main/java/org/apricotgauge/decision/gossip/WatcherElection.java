package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import org.apricotgauge.decision.RendezvousOrder;
import org.apricotgauge.model.Vm;

/**
 * Elects the few nodes of a failure domain that read the platform, by rendezvous hashing.
 *
 * <pre>{@code
 * WatcherElection.Role role =
 *         WatcherElection.roleOf(self, view.nodes(), view::unreachable, node::lostPlatform);
 * }</pre>
 *
 * <p>Each node computes its role locally from the reachable nodes in its view, without messages.
 * While views differ, more or fewer nodes than intended may watch; either is harmless, since every
 * other failure domain has watchers too. Two nodes watch; when one becomes unreachable or reports
 * that it lost the platform, the next in order takes over. At most {@link #CANDIDATES} nodes of a
 * failure domain ever call the platform, so that an unavailable platform is not called by the whole
 * fleet in turn.
 */
public final class WatcherElection {
    /** Number of nodes of a failure domain that watch the platform. */
    public static final int WATCHERS = 2;

    /** Maximum number of nodes of a failure domain that may call the platform. */
    public static final int CANDIDATES = 6;

    /** The role of a node. */
    public enum Role {
        /** Watches the platform. */
        WATCH,
        /** Lost the platform and retries it from time to time. */
        RETRY,
        /** Does not call the platform and receives updates from peers. */
        PASSIVE
    }

    private WatcherElection() {}

    /**
     * Returns the role of a node.
     *
     * @param self the node
     * @param nodes all nodes that are not leaving; may lack the node itself
     * @param unreachable whether a node is considered unreachable
     * @param lostPlatform whether a node reported that it lost the platform
     */
    public static Role roleOf(
            Vm self,
            Collection<Vm> nodes,
            Predicate<String> unreachable,
            Predicate<String> lostPlatform) {
        List<String> candidates = candidates(self, nodes, unreachable);
        if (!candidates.contains(self.id())) {
            return Role.PASSIVE;
        }
        if (lostPlatform.test(self.id())) {
            return Role.RETRY;
        }
        int activeBefore = 0;
        for (String candidate : candidates) {
            if (candidate.equals(self.id())) {
                break;
            }
            if (!lostPlatform.test(candidate)) {
                activeBefore++;
            }
        }
        return activeBefore < WATCHERS ? Role.WATCH : Role.PASSIVE;
    }

    private static List<String> candidates(
            Vm self, Collection<Vm> nodes, Predicate<String> unreachable) {
        List<String> sameDomain = new ArrayList<>();
        sameDomain.add(self.id());
        for (Vm vm : nodes) {
            boolean isOther = !vm.id().equals(self.id());
            boolean isSameDomain = vm.failureDomain().equals(self.failureDomain());
            if (isOther && isSameDomain && !unreachable.test(vm.id())) {
                sameDomain.add(vm.id());
            }
        }
        return RendezvousOrder.of(self.failureDomain(), sameDomain, Function.identity()).stream()
                .limit(CANDIDATES)
                .toList();
    }
}
