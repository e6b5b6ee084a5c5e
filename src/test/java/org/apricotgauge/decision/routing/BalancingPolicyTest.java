package org.apricotgauge.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;
import org.junit.jupiter.api.Test;

class BalancingPolicyTest {
    private static final Service SERVICE =
            new Service("s", 50, new DetectionOdds(1, 1), 10, 100, null);
    private static final int DRAWS = 6_000;

    private final SplittableRandom mRandom = new SplittableRandom(3);

    private static Candidate candidate(String id, String domain, double weight, long rampStart) {
        Target target = new Target(id, "s", "vm-" + id, domain, "127.0.0.1", 80, 3);
        return new Candidate(target, null, false, weight, rampStart, new TargetLoad());
    }

    private static Candidate warm(String id, String domain, double weight) {
        return candidate(id, domain, weight, Candidate.NO_RAMP);
    }

    private static ServiceTable table(Candidate... candidates) {
        return ServiceTable.of(SERVICE, List.of(candidates), "vm-x", "here");
    }

    private Map<String, Integer> draw(ServiceTable table, long nowNanos) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < DRAWS; i++) {
            Candidate choice =
                    BalancingPolicy.choose(table, Set.of(), mRandom, nowNanos).orElseThrow();
            counts.merge(choice.target().id(), 1, Integer::sum);
        }
        return counts;
    }

    @Test
    void ejectedAndLeavingTargetsGetNoRequests() {
        Candidate leaving =
                new Candidate(
                        warm("c", "here", 1).target(),
                        null,
                        true,
                        1,
                        Candidate.NO_RAMP,
                        new TargetLoad());
        ServiceTable table = table(warm("a", "here", 1), warm("b", "here", 0), leaving);
        assertThat(draw(table, 0)).containsOnlyKeys("a");
    }

    @Test
    void suspectGetsShareByWeight() {
        ServiceTable table =
                table(
                        warm("a", "here", 1),
                        warm("b", "here", 1),
                        warm("c", "here", 1),
                        warm("d", "here", 0.2));
        double share = (double) draw(table, 0).get("d") / DRAWS;
        assertThat(share).isBetween(0.03, 0.12);
    }

    @Test
    void coldTargetStartsWithTenthOfItsShare() {
        ServiceTable table =
                table(
                        warm("a", "here", 1),
                        warm("b", "here", 1),
                        warm("c", "here", 1),
                        candidate("d", "here", 1, 0));
        assertThat(draw(table, 0).getOrDefault("d", 0)).isLessThan(DRAWS / 15);
        assertThat(draw(table, BalancingPolicy.RAMP_NANOS).get("d")).isGreaterThan(DRAWS / 6);
    }

    @Test
    void choosesRemoteTargetWhenOwnFailureDomainIsBusier() {
        Candidate local = warm("near", "here", 1);
        ServiceTable table = table(local, warm("far", "there", 1));
        assertThat(draw(table, 0)).containsOnlyKeys("near");
        local.load().begin();
        local.load().begin();
        assertThat(draw(table, 0)).containsOnlyKeys("near");
        local.load().begin();
        assertThat(draw(table, 0)).containsOnlyKeys("far");
    }

    @Test
    void guardLoadReportCountsWhileFresh() {
        Candidate local = warm("near", "here", 1);
        ServiceTable table = table(local, warm("far", "there", 1));
        local.load().reportLoad(1_500, 0);
        assertThat(draw(table, 0)).containsOnlyKeys("far");
        assertThat(draw(table, 3_000_000_000L)).containsOnlyKeys("near");
    }

    @Property(seed = "12", tries = 300)
    void choosesTargetWhileAnyUntriedOneIsEligible(
            @ForAll @IntRange(min = 1, max = 40) int targets,
            @ForAll @IntRange(min = 0, max = 39) int tried,
            @ForAll @IntRange(min = 0, max = 39) int ejected) {
        List<Candidate> candidates = new ArrayList<>();
        Set<String> triedIds = new HashSet<>();
        for (int i = 0; i < targets; i++) {
            candidates.add(warm("t" + i, i % 3 == 0 ? "here" : "there", i < ejected ? 0 : 1));
            if (i >= targets - tried) {
                triedIds.add("t" + i);
            }
        }
        ServiceTable table = ServiceTable.of(SERVICE, candidates, "vm-x", "here");
        boolean possible =
                candidates.stream()
                        .anyMatch(c -> c.isEligible() && !triedIds.contains(c.target().id()));
        Optional<Candidate> choice = BalancingPolicy.choose(table, triedIds, mRandom, 0);
        assertThat(choice.isPresent()).isEqualTo(possible);
        choice.ifPresent(
                chosen ->
                        assertThat(chosen.isEligible() && !triedIds.contains(chosen.target().id()))
                                .isTrue());
    }
}
