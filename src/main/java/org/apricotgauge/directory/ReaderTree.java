package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.apricotgauge.decision.RendezvousOrder;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * Decides where each node reads the site from: one node of each failure domain reads the platform,
 * the others read from one another, in a tree.
 *
 * <pre>{@code
 * ReaderTree tree = new ReaderTree(self, nodes);
 * Optional<Address> parent = tree.parent(suspects::contains);   // empty: read the platform
 * }</pre>
 *
 * <p>Every node computes the tree alone, by rendezvous hashing over the nodes of its own list; no
 * message is needed. While the lists or the suspected nodes differ, a failure domain may briefly
 * have no reader of the platform, or two. That costs calls but not correctness, since each node
 * limits the age of its own view and reads the platform itself before the limit is reached.
 */
public final class ReaderTree {
    /**
     * Maximum number of nodes that read from one. It limits the load of a parent; a failure domain
     * of 600 nodes is then three levels deep, and a level takes a few milliseconds.
     */
    static final int FAN_OUT = 12;

    /** Number of nodes of a failure domain that probe an unavailable platform most often. */
    private static final int PROBING_NODES = 2;

    private final Node mSelf;
    private final int mNodeCount;
    private final List<Address> mOrder;
    private final List<Address> mFirstDomainOrder;

    /**
     * A node of the site.
     *
     * @param guard address of its guard
     * @param failureDomain its failure domain
     */
    public record Node(Address guard, String failureDomain) {
        /** Validates the components. */
        public Node {
            Checks.notNull("node.guard", guard);
            Checks.notNull("node.failureDomain", failureDomain);
        }

        // Written out: the methods that a record inherits are linked when they are first called,
        // which
        // takes milliseconds of a node's start.
        @Override
        public boolean equals(Object other) {
            return other instanceof Node that
                    && guard.equals(that.guard)
                    && failureDomain.equals(that.failureDomain);
        }

        @Override
        public int hashCode() {
            return 31 * guard.hashCode() + failureDomain.hashCode();
        }
    }

    /**
     * Creates the tree of a node's failure domain.
     *
     * @param self this node
     * @param nodes the nodes of the site, with or without this node
     */
    public ReaderTree(Node self, Collection<Node> nodes) {
        mSelf = Checks.notNull("self", self);
        mNodeCount = nodes.size();
        mOrder = orderOf(self.failureDomain(), nodes);
        Set<String> domains = new HashSet<>();
        nodes.forEach(node -> domains.add(node.failureDomain()));
        List<String> order = RendezvousOrder.of("", domains, Function.identity());
        mFirstDomainOrder = order.isEmpty() ? List.of() : orderOf(order.get(0), nodes);
    }

    private static List<Address> orderOf(String failureDomain, Collection<Node> nodes) {
        List<Address> guards = new ArrayList<>();
        for (Node node : nodes) {
            if (node.failureDomain().equals(failureDomain)) {
                guards.add(node.guard());
            }
        }
        return RendezvousOrder.of(failureDomain, guards, Address::toString);
    }

    /** Returns the tree of a node that has no other node in its list. */
    static ReaderTree ofSingleNode() {
        return new ReaderTree(new Node(new Address("0.0.0.0", 1), ""), List.of());
    }

    /**
     * Returns the node to read from; empty if this node reads the platform.
     *
     * @param isSuspect whether a node does not answer, or its view is too stale
     */
    public Optional<Address> parent(Predicate<Address> isSuspect) {
        List<Address> trusted =
                mOrder.stream()
                        .filter(node -> node.equals(mSelf.guard()) || !isSuspect.test(node))
                        .toList();
        int index = trusted.indexOf(mSelf.guard());
        // An unregistered node ranks last and is no parent.
        int rank = index < 0 ? trusted.size() : index;
        return rank == 0 ? Optional.empty() : Optional.of(trusted.get((rank - 1) / FAN_OUT));
    }

    /**
     * Returns the node that a reader of the platform queries to confirm its view before it queries
     * the platform: the reader of one failure domain, the same for all. Empty for that reader
     * itself.
     *
     * <p>The platform is then queried once for the whole site, not once per failure domain.
     *
     * @param isSuspect whether a node does not answer, or its view is too stale
     */
    public Optional<Address> confirmer(Predicate<Address> isSuspect) {
        return mFirstDomainOrder.stream()
                .filter(node -> node.equals(mSelf.guard()) || !isSuspect.test(node))
                .findFirst()
                .filter(node -> !node.equals(mSelf.guard()));
    }

    /** Returns whether this node is among those that probe an unavailable platform most often. */
    public boolean probesPlatform() {
        return mOrder.size() < PROBING_NODES
                || mOrder.subList(0, PROBING_NODES).contains(mSelf.guard());
    }

    /** Returns the number of nodes of the site. */
    public int nodeCount() {
        return mNodeCount;
    }
}
