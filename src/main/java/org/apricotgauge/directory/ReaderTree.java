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
 * Tells each node whom it reads the site from: one node of each failure domain reads the platform,
 * the others read from one another, in a tree.
 *
 * <pre>{@code
 * ReaderTree tree = new ReaderTree(self, nodes);
 * Optional<Address> parent = tree.parent(suspects::contains);   // empty: read the platform
 * }</pre>
 *
 * <p>Every node works it out alone, by rendezvous hashing over the nodes that it knows; no message
 * is needed. Nodes that know different members, or suspect different ones, may for a moment have no
 * reader or two of them; that costs calls and never truth, since each node bounds the age of its
 * own view and reads the platform itself before the bound is reached.
 */
public final class ReaderTree {
    /**
     * How many nodes read from one at the most. It bounds what a parent answers; a failure domain
     * of 600 nodes is then three steps deep, and a step takes a few milliseconds.
     */
    static final int FAN_OUT = 12;

    /** How many nodes of a failure domain are tried first while the platform is away. */
    private static final int PROBING_NODES = 2;

    private final Node mSelf;
    private final int mNodeCount;
    private final List<Address> mOrder;
    private final List<Address> mFirstDomainOrder;

    /**
     * A node of the site.
     *
     * @param guard where other nodes reach it
     * @param failureDomain failure domain that it stands in
     */
    public record Node(Address guard, String failureDomain) {
        /** Checks the parts. */
        public Node {
            Checks.notNull("node.guard", guard);
            Checks.notNull("node.failureDomain", failureDomain);
        }
    }

    /**
     * Creates the tree of a node's failure domain.
     *
     * @param self the node that asks
     * @param nodes the nodes of the site; may lack the node itself
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
        List<Address> inside = new ArrayList<>();
        for (Node node : nodes) {
            if (node.failureDomain().equals(failureDomain)) {
                inside.add(node.guard());
            }
        }
        return RendezvousOrder.of(failureDomain, inside, Address::toString);
    }

    /** Returns the tree of a node that knows no other. */
    static ReaderTree ofSingleNode() {
        return new ReaderTree(new Node(new Address("0.0.0.0", 1), ""), List.of());
    }

    /**
     * Returns the node to read from; empty if this node is to read the platform.
     *
     * @param isSuspect tells of nodes that do not answer or that know too little
     */
    public Optional<Address> parent(Predicate<Address> isSuspect) {
        List<Address> trusted =
                mOrder.stream()
                        .filter(node -> node.equals(mSelf.guard()) || !isSuspect.test(node))
                        .toList();
        int place = trusted.indexOf(mSelf.guard());
        // A node that is not registered is nobody's parent, and stands behind all others.
        int rank = place < 0 ? trusted.size() : place;
        return rank == 0 ? Optional.empty() : Optional.of(trusted.get((rank - 1) / FAN_OUT));
    }

    /**
     * Returns whom a node that reads the platform asks whether its view still holds, before it asks
     * the platform: the reader of one failure domain, the same for all. Empty for that one itself.
     *
     * <p>The platform is then asked once for the whole site, not once for each failure domain.
     *
     * @param isSuspect tells of nodes that do not answer or that know too little
     */
    public Optional<Address> confirmer(Predicate<Address> isSuspect) {
        return mFirstDomainOrder.stream()
                .filter(node -> node.equals(mSelf.guard()) || !isSuspect.test(node))
                .findFirst()
                .filter(node -> !node.equals(mSelf.guard()));
    }

    /** Returns whether this node is among the first that look whether the platform is back. */
    public boolean probesPlatform() {
        return mOrder.size() < PROBING_NODES
                || mOrder.subList(0, PROBING_NODES).contains(mSelf.guard());
    }

    /** Returns how many nodes the site has. */
    public int nodeCount() {
        return mNodeCount;
    }
}
