package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.apricotgauge.directory.ReaderTree.Node;
import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;

class ReaderTreeTest {
    private static final int NODES = 600;

    private static List<Node> site(int nodesEach) {
        List<Node> nodes = new ArrayList<>();
        for (String domain : List.of("a", "b")) {
            IntStream.range(0, nodesEach)
                    .mapToObj(i -> new Node(new Address(domain + i, 80), domain))
                    .forEach(nodes::add);
        }
        return nodes;
    }

    private static Optional<Address> parentOf(Node node, List<Node> site, Set<Address> suspects) {
        return new ReaderTree(node, site).parent(suspects::contains);
    }

    @Test
    void oneNodePerFailureDomainReadsPlatformAndOthersReachItInFewSteps() {
        List<Node> site = site(NODES);
        Map<Address, Address> parents = new HashMap<>();
        List<Node> readers = new ArrayList<>();
        for (Node node : site) {
            parentOf(node, site, Set.of())
                    .ifPresentOrElse(
                            parent -> parents.put(node.guard(), parent), () -> readers.add(node));
        }

        assertThat(readers).extracting(Node::failureDomain).containsExactlyInAnyOrder("a", "b");
        assertThat(site).allMatch(node -> steps(node.guard(), parents) <= 3);
        for (Address parent : new HashSet<>(parents.values())) {
            assertThat(parents.values().stream().filter(parent::equals).count())
                    .isLessThanOrEqualTo(ReaderTree.FAN_OUT);
        }
    }

    private static int steps(Address node, Map<Address, Address> parents) {
        int steps = 0;
        for (Address next = node; parents.containsKey(next); next = parents.get(next)) {
            steps++;
        }
        return steps;
    }

    @Test
    void nodesSuspectingReaderAgreeOnNextOne() {
        List<Node> site = site(20);
        Set<Address> dead = new HashSet<>();
        for (int round = 0; round < 3; round++) {
            List<Address> readers =
                    site.stream()
                            .filter(node -> node.failureDomain().equals("a"))
                            .filter(node -> !dead.contains(node.guard()))
                            .filter(node -> parentOf(node, site, dead).isEmpty())
                            .map(Node::guard)
                            .toList();
            assertThat(readers).hasSize(1);
            dead.addAll(readers);
        }
    }

    @Test
    void unregisteredNodeIsNeverAParent() {
        // The node's target is still starting or is leaving. The other nodes do not know the node
        // and would not read from it, so as a reader of the platform it would be superfluous.
        List<Node> site = site(20);
        Node unregistered = new Node(new Address("stranger", 80), "a");

        assertThat(parentOf(unregistered, site, Set.of())).isPresent();
        assertThat(site)
                .noneMatch(
                        node ->
                                parentOf(node, site, Set.of())
                                        .equals(Optional.of(unregistered.guard())));
    }

    @Test
    void readersOfAllFailureDomainsAgreeOnConfirmer() {
        List<Node> site = site(20);
        List<Node> readers =
                site.stream().filter(node -> parentOf(node, site, Set.of()).isEmpty()).toList();

        List<Address> confirmers =
                readers.stream()
                        .flatMap(
                                node ->
                                        new ReaderTree(node, site)
                                                .confirmer(guard -> false).stream())
                        .toList();

        assertThat(confirmers).hasSize(1);
        assertThat(readers).extracting(Node::guard).contains(confirmers.get(0));
    }

    @Test
    void nodeWithoutNeighborsReadsPlatform() {
        Node alone = new Node(new Address("c0", 80), "c");
        assertThat(parentOf(alone, site(3), Set.of())).isEmpty();
        assertThat(new ReaderTree(alone, site(3)).probesPlatform()).isTrue();
        assertThat(ReaderTree.ofSingleNode().parent(node -> false)).isEmpty();
    }
}
