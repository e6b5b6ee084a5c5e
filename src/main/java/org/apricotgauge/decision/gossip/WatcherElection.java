package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import org.apricotgauge.decision.RendezvousOrder;
import org.apricotgauge.model.Vm;

/**
 * Decides which few nodes of a failure domain read the platform, by rendezvous hashing.
 *
 * <pre>{@code
 * WatcherElection.Role role =
 *         WatcherElection.roleOf(self, view.nodes(), view::unreachable, node::lostPlatform);
 * }</pre>
 *
 * <p>Every node works it out alone from the nodes it knows to live; no message is needed. Nodes
 * whose views differ for a moment may both watch, or for a moment fewer do; either is harmless,
 * since every other failure domain has watchers too. Two watch; when one is gone or says that it
 * lost the platform, the next in order takes over. No more than {@code CANDIDATES} ever call, so
 * that a platform that is down is not called by the whole fleet in turn.
 */
public final class WatcherElection {
    /** How many nodes of a failure domain watch. */
    public static final int WATCHERS = 2;

    /** How many nodes of a failure domain may call at all. */
    public static final int CANDIDATES = 6;

    /** What a node does. */
    public enum Role {
        /** Watches the platform. */
        WATCH,
        /** Lost the platform and tries it now and then. */
        RETRY,
        /** Leaves the platform alone and hears from peers. */
        PASSIVE
    }

    private WatcherElection() {}

    /**
     * Returns the role of a node.
     *
     * @param self the node
     * @param nodes all nodes that are not leaving; may lack the node itself
     * @param unreachable tells of nodes that count as dead
     * @param lostPlatform tells of nodes that said they lost the platform
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
        int before = 0;
        for (String candidate : candidates) {
            if (candidate.equals(self.id())) {
                break;
            }
            if (!lostPlatform.test(candidate)) {
                before++;
            }
        }
        return before < WATCHERS ? Role.WATCH : Role.PASSIVE;
    }

    private static List<String> candidates(
            Vm self, Collection<Vm> nodes, Predicate<String> unreachable) {
        List<String> near = new ArrayList<>();
        near.add(self.id());
        for (Vm vm : nodes) {
            boolean other = !vm.id().equals(self.id());
            boolean isNear = vm.failureDomain().equals(self.failureDomain());
            if (other && isNear && !unreachable.test(vm.id())) {
                near.add(vm.id());
            }
        }
        return RendezvousOrder.of(self.failureDomain(), near, Function.identity()).stream()
                .limit(CANDIDATES)
                .toList();
    }
}
