package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.apricotgauge.model.Vm;
import org.junit.jupiter.api.Test;

class WatcherElectionTest {
    private static final int DOMAINS = 12;
    private static final int NODES = 7_100;

    private static List<Vm> fleet(int size) {
        return IntStream.range(0, size)
                .mapToObj(i -> new Vm("vm" + i, "d" + i % DOMAINS, "10.0.0.1", 1, 2, 3, 4))
                .toList();
    }

    private static List<Vm> withRole(
            WatcherElection.Role role,
            List<Vm> fleet,
            Predicate<String> unreachable,
            Predicate<String> lost) {
        return fleet.stream()
                .filter(
                        vm ->
                                !unreachable.test(vm.id())
                                        && WatcherElection.roleOf(vm, fleet, unreachable, lost)
                                                == role)
                .toList();
    }

    private static List<Vm> domain(List<Vm> fleet, String domain) {
        return fleet.stream().filter(vm -> vm.failureDomain().equals(domain)).toList();
    }

    @Test
    void twoNodesPerFailureDomainWatchAtAnySize() {
        List<Vm> fleet = domain(fleet(NODES), "d3");
        assertThat(withRole(WatcherElection.Role.WATCH, fleet, id -> false, id -> false))
                .hasSize(WatcherElection.WATCHERS);
        List<Vm> small = domain(fleet(36), "d3");
        assertThat(withRole(WatcherElection.Role.WATCH, small, id -> false, id -> false))
                .hasSize(WatcherElection.WATCHERS);
    }

    @Test
    void nextCandidateReplacesUnreachableWatcher() {
        // Failure: a failure domain receives no more changes. Both of its watchers have failed, one
        // is dead and one disconnected from the platform.
        List<Vm> fleet = domain(fleet(600), "d1");
        List<Vm> first = withRole(WatcherElection.Role.WATCH, fleet, id -> false, id -> false);
        String dead = first.get(0).id();
        String disconnected = first.get(1).id();
        List<Vm> next =
                withRole(WatcherElection.Role.WATCH, fleet, dead::equals, disconnected::equals);
        assertThat(next).hasSize(WatcherElection.WATCHERS).doesNotContainAnyElementsOf(first);
    }

    @Test
    void unavailablePlatformIsRetriedByFewNodes() {
        // Failure: a recovering platform is called by the whole fleet at once. Each watcher that
        // loses it is replaced by the next node, until all 590 nodes of a domain have called it.
        List<Vm> fleet = domain(fleet(NODES), "d2");
        Set<String> lost = new HashSet<>();
        int lostBefore = -1;
        while (lost.size() > lostBefore) {
            lostBefore = lost.size();
            withRole(WatcherElection.Role.WATCH, fleet, id -> false, lost::contains)
                    .forEach(vm -> lost.add(vm.id()));
        }
        assertThat(lost).hasSize(WatcherElection.CANDIDATES);
        assertThat(withRole(WatcherElection.Role.RETRY, fleet, id -> false, lost::contains))
                .hasSize(WatcherElection.CANDIDATES);
    }
}
