package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.LongRange;

/**
 * Fuzzes the dissemination with faults in random order and combination against an oracle: the list
 * of published bodies, and the highest position of any node. {@link SimulatedGossipFleet} checks
 * the invariants after every step.
 */
class DisseminationProperties {
    private static final int NODES = 7;
    private static final int DOMAINS = 3;
    private static final long CONVERGENCE_MILLIS = 60_000;

    /** One step of a scenario; {@code a} and {@code b} are the indices of the nodes involved. */
    record Step(Kind kind, int a, int b) {}

    enum Kind {
        PUBLISH,
        READ_PLATFORM,
        READ_STALE_PLATFORM,
        BLOCK_ONE_WAY,
        PARTITION,
        HEAL,
        RESTART,
        CRASH_AND_RESTART,
        PAUSE,
        DROP_ON_LINKS,
        LOSE_MESSAGES,
        WAIT
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> node = Arbitraries.integers().between(0, NODES - 1);
        return Combinators.combine(Arbitraries.of(Kind.class), node, node)
                .as(Step::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(40);
    }

    @Property(seed = "5", tries = 150)
    void allNodesConvergeToHighestPositionWithoutRegression(
            @ForAll("steps") List<Step> steps, @ForAll @LongRange(min = 1, max = 1_000) long seed) {
        SimulatedGossipFleet fleet =
                new SimulatedGossipFleet(NODES, DOMAINS, GossipSettings.DEFAULT, seed);
        fleet.mReorder = seed % 2 == 0;
        fleet.mDuplicateShare = seed % 3 == 0 ? 0.2 : 0;
        fleet.run(3_000);
        for (Step step : steps) {
            apply(fleet, step);
            fleet.run(200 + 37L * step.a());
        }
        fleet.heal();
        fleet.mNodes.forEach(SimulatedGossipFleet.Node::resume);
        fleet.run(CONVERGENCE_MILLIS);
        assertThat(fleet.allAt(fleet.highestPosition())).as(fleet.toString()).isTrue();
        assertThat(fleet.count(GossipEvent.HISTORY_CONFLICT)).isZero();
    }

    private static void apply(SimulatedGossipFleet fleet, Step step) {
        SimulatedGossipFleet.Node a = fleet.mNodes.get(step.a());
        SimulatedGossipFleet.Node b = fleet.mNodes.get(step.b());
        switch (step.kind()) {
            case PUBLISH -> fleet.publish("body " + fleet.mLog.size());
            case READ_PLATFORM -> a.readLog(fleet.mLog.size());
            case READ_STALE_PLATFORM -> a.readLog(fleet.mLog.size() / 2);
            case BLOCK_ONE_WAY -> fleet.block(a, b);
            case PARTITION -> partition(fleet, step.a());
            case HEAL -> fleet.heal();
            case RESTART -> restart(a, false);
            case CRASH_AND_RESTART -> restart(a, true);
            case PAUSE -> {
                a.pause();
                fleet.run(4_000);
                a.resume();
            }
            case DROP_ON_LINKS -> fleet.dropMessagesOnLinksOf(a);
            case LOSE_MESSAGES -> fleet.mLossShare = 0.1;
            default -> fleet.run(5_000);
        }
    }

    private static void restart(SimulatedGossipFleet.Node node, boolean silently) {
        node.stop(silently);
        node.start();
    }

    private static void partition(SimulatedGossipFleet fleet, int border) {
        for (SimulatedGossipFleet.Node left : fleet.mNodes.subList(0, border)) {
            for (SimulatedGossipFleet.Node right : fleet.mNodes.subList(border, NODES)) {
                fleet.block(left, right);
                fleet.block(right, left);
            }
        }
    }
}
