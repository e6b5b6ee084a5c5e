package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Failures of paths, peers and the platform, on a simulated network and clock. */
class GossipNodeTest {
    private static final int NODES = 9;
    private static final int DOMAINS = 3;

    private SimulatedGossipFleet convergedFleet(GossipSettings settings) {
        SimulatedGossipFleet fleet = new SimulatedGossipFleet(NODES, DOMAINS, settings, 11);
        fleet.run(5_000);
        return fleet;
    }

    private SimulatedGossipFleet convergedFleet() {
        return convergedFleet(GossipSettings.DEFAULT);
    }

    private static long publishTo(SimulatedGossipFleet fleet, SimulatedGossipFleet.Node reader) {
        long position = fleet.publish("body " + fleet.mLog.size());
        reader.readLog(position);
        return position;
    }

    private static boolean isUnreachableForAny(
            SimulatedGossipFleet fleet, SimulatedGossipFleet.Node node) {
        return fleet.mNodes.stream()
                .filter(other -> other != node && other.isRunning())
                .anyMatch(other -> other.mGossip.view().unreachable(node.mVm.id()));
    }

    @Test
    void stalePlatformDoesNotRollBackNodes() {
        // Caller: a route that was changed hours ago comes back. A watcher reads version 5, the
        // platform then fails over to a copy that stands at 2, and a watcher that asks "what is
        // newest" would take 2 for the truth.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node watcher = fleet.mNodes.get(0);
        for (int i = 0; i < 5; i++) {
            publishTo(fleet, watcher);
        }
        fleet.run(1_000);
        assertThat(watcher.readLog(2)).isFalse();
        assertThat(watcher.count(GossipEvent.STALE_PLATFORM)).isEqualTo(1);
        fleet.run(1_000);
        assertThat(fleet.allAt(5)).isTrue();
    }

    @Test
    void restartedNodeCatchesUpFromPeersWhilePlatformIsStale() {
        // Caller: a node that was replaced serves an old version. It starts empty, the platform
        // answers with an older head, and only peers know the version in force. It has to stay
        // closed until it has what they have.
        SimulatedGossipFleet fleet = convergedFleet();
        for (int i = 0; i < 5; i++) {
            publishTo(fleet, fleet.mNodes.get(0));
        }
        fleet.run(1_000);
        SimulatedGossipFleet.Node fresh = fleet.mNodes.get(4);
        fresh.stop(true);
        fresh.start();
        fresh.readLog(2);
        ReadinessPolicy policy = new ReadinessPolicy(10_000);
        long startMillis = fleet.mNowMillis;
        while (!isReady(policy, fresh, fleet.mNowMillis - startMillis)) {
            fleet.run(100);
        }
        assertThat(fresh.mGossip.position()).isEqualTo(5);
        assertThat(fleet.mNowMillis - startMillis).isLessThan(3_000);
    }

    private static boolean isReady(
            ReadinessPolicy policy, SimulatedGossipFleet.Node node, long waitedMillis) {
        GossipNode<?> machine = node.mGossip;
        return policy.decide(
                        new ReadinessPolicy.Observation(
                                machine.position(),
                                machine.highestKnownPosition(),
                                true,
                                false,
                                machine.vmRevision() > 0,
                                machine.respondingDomains(),
                                machine.knownDomains(),
                                waitedMillis))
                == ReadinessPolicy.Decision.READY;
    }

    @Test
    void oneWayPartitionMarksNoNodeUnreachable() {
        // Caller: a healthy VM gets no work any more. Frames from one node to another vanish while
        // the reverse path works; the second hears no heartbeat, dials in vain, and without asking
        // others it would tell the fleet that the first is dead.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node from = fleet.mNodes.get(1);
        SimulatedGossipFleet.Node to = fleet.mNodes.get(2);
        fleet.block(from, to);
        for (int i = 0; i < 30; i++) {
            fleet.run(1_000);
            assertThat(isUnreachableForAny(fleet, from)).as("second %d", i).isFalse();
            assertThat(isUnreachableForAny(fleet, to)).as("second %d", i).isFalse();
        }
        assertThat(fleet.count(GossipEvent.PATH_FAULT)).isPositive();
        assertThat(fleet.count(GossipEvent.SUSPICION_RAISED)).isZero();
        long position = publishTo(fleet, from);
        fleet.run(2_000);
        assertThat(fleet.allAt(position)).isTrue();
    }

    @Test
    void unresponsiveConnectionIsClosedAndRedialled() {
        // Caller: one node keeps serving an old version. Something between the ends has lost track
        // of its connections; they look open, carry nothing, and TCP tells after a quarter of an
        // hour, while a new connection would work at once.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node mute = fleet.mNodes.get(3);
        fleet.dropMessagesOnLinksOf(mute);
        long position = publishTo(fleet, fleet.mNodes.get(0));
        fleet.run(8_000);
        assertThat(fleet.allAt(position)).isTrue();
        assertThat(mute.count(GossipEvent.LINK_SILENT)).isPositive();
        assertThat(isUnreachableForAny(fleet, mute)).isFalse();
    }

    @Test
    void crashedNodeIsUnreachableUntilRestart() {
        // Caller: nothing, if the fleet knows. A VM vanishes without a word; its peers must agree
        // within seconds, and take it in again once it has restarted.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node dead = fleet.mNodes.get(5);
        dead.stop(true);
        fleet.run(20_000);
        for (SimulatedGossipFleet.Node other : fleet.mNodes) {
            if (other != dead) {
                assertThat(other.mGossip.view().unreachable(dead.mVm.id())).isTrue();
            }
        }
        dead.start();
        fleet.run(3_000);
        assertThat(isUnreachableForAny(fleet, dead)).isFalse();
    }

    @Test
    void partitionedSidesReconnectAfterHealing() {
        // Caller: callers of one side see changes that those of the other never get. During a long
        // partition each side drops the other; afterwards nobody would dial across.
        SimulatedGossipFleet fleet = convergedFleet();
        List<SimulatedGossipFleet.Node> left = fleet.mNodes.subList(0, 4);
        List<SimulatedGossipFleet.Node> right = fleet.mNodes.subList(4, NODES);
        for (SimulatedGossipFleet.Node a : left) {
            for (SimulatedGossipFleet.Node b : right) {
                fleet.block(a, b);
                fleet.block(b, a);
            }
        }
        fleet.run(120_000);
        long position = publishTo(fleet, left.get(0));
        fleet.run(5_000);
        assertThat(right.get(0).mGossip.position()).isZero();
        fleet.heal();
        fleet.run(20_000);
        assertThat(fleet.allAt(position)).isTrue();
    }

    @Test
    void resumedProcessConfirmsStateBeforeActing() {
        // Caller: a request goes to a target that left while the process slept. It wakes, its
        // clock has moved on, and a request is read before any peer was heard.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node sleeper = fleet.mNodes.get(2);
        SimulatedGossipFleet.Node leaver = fleet.mNodes.get(7);
        sleeper.pause();
        fleet.run(10_000);
        leaver.mGossip.announceLeaving(LeavingNotice.WHOLE_VM, fleet.mNowMillis);
        long position = publishTo(fleet, fleet.mNodes.get(0));
        fleet.run(10_000);
        StalenessGate guard = sleeper.mGossip.stalenessGate();
        assertThat(guard.mayAct(fleet.mNowMillis)).isFalse();
        sleeper.resume();
        long wokeMillis = fleet.mNowMillis;
        while (!guard.mayAct(fleet.mNowMillis)) {
            fleet.run(10);
        }
        assertThat(fleet.mNowMillis - wokeMillis).isLessThan(5_000);
        assertThat(sleeper.mGossip.position()).isEqualTo(position);
        assertThat(sleeper.mGossip.view().leaving(leaver.mVm.id())).isTrue();
    }

    @Test
    void isolatedResumedProcessProceedsAfterTimeout() {
        // Caller: a whole side of a partition refuses work. A process wakes alone; if it waited for
        // ever to be confirmed, its callers would have nobody.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node sleeper = fleet.mNodes.get(2);
        sleeper.pause();
        fleet.run(10_000);
        for (SimulatedGossipFleet.Node other : fleet.mNodes) {
            fleet.block(other, sleeper);
        }
        sleeper.resume();
        fleet.run(200);
        assertThat(sleeper.mGossip.stalenessGate().mayAct(fleet.mNowMillis)).isFalse();
        fleet.run(6_000);
        assertThat(sleeper.mGossip.stalenessGate().mayAct(fleet.mNowMillis)).isTrue();
    }

    @Test
    void leavingNoticeReachesAllNodesAndEndsWithIncarnation() {
        // Caller: nothing, if told in time. The platform's list lags; the node's own word must be
        // with all peers at once, and must not outlive the run that gave it.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node leaver = fleet.mNodes.get(6);
        leaver.mGossip.announceLeaving(LeavingNotice.WHOLE_VM, fleet.mNowMillis);
        leaver.mGossip.announceLeaving("target-1", fleet.mNowMillis);
        fleet.run(500);
        for (SimulatedGossipFleet.Node other : fleet.mNodes) {
            assertThat(other.mGossip.view().leaving(leaver.mVm.id())).isTrue();
            assertThat(other.mGossip.view().leaving(leaver.mVm.id(), "target-1")).isTrue();
        }
        leaver.stop(false);
        leaver.start();
        fleet.run(5_000);
        for (SimulatedGossipFleet.Node other : fleet.mNodes) {
            assertThat(other.mGossip.view().leaving(leaver.mVm.id())).isFalse();
        }
    }
}
