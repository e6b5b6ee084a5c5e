package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests failures of network paths, peers and the platform on a simulated network and clock. */
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
        // Failure: a route that was changed hours ago is restored. A watcher reads version 5, then
        // the platform fails over to a replica at version 2, and a watcher that applies the latest
        // response would adopt 2.
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
        // Failure: a replacement node serves an old version. It starts without state, the platform
        // returns an older head, and only peers have the version in force. The node must not be
        // ready before it has caught up with them.
        SimulatedGossipFleet fleet = convergedFleet();
        for (int i = 0; i < 5; i++) {
            publishTo(fleet, fleet.mNodes.get(0));
        }
        fleet.run(1_000);
        SimulatedGossipFleet.Node restarted = fleet.mNodes.get(4);
        restarted.stop(true);
        restarted.start();
        restarted.readLog(2);
        ReadinessPolicy policy = new ReadinessPolicy(10_000);
        long startMillis = fleet.mNowMillis;
        while (!isReady(policy, restarted, fleet.mNowMillis - startMillis)) {
            fleet.run(100);
        }
        assertThat(restarted.mGossip.position()).isEqualTo(5);
        assertThat(fleet.mNowMillis - startMillis).isLessThan(3_000);
    }

    private static boolean isReady(
            ReadinessPolicy policy, SimulatedGossipFleet.Node node, long waitedMillis) {
        GossipNode<?> gossip = node.mGossip;
        return policy.decide(
                        new ReadinessPolicy.Observation(
                                gossip.position(),
                                gossip.highestKnownPosition(),
                                true,
                                false,
                                gossip.vmRevision() > 0,
                                gossip.respondingDomains(),
                                gossip.knownDomains(),
                                waitedMillis))
                == ReadinessPolicy.Decision.READY;
    }

    @Test
    void oneWayPartitionMarksNoNodeUnreachable() {
        // Failure: a healthy VM gets no more requests. Frames from one node to another are lost
        // while the reverse path works; the second node receives no heartbeat, its dials fail, and
        // without indirect probes it would report the first as dead.
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
        // Failure: one node keeps serving an old version. A middlebox has lost the state of its
        // connections; they appear open, transfer nothing, and TCP reports this only after a
        // quarter of an hour, while a new connection would work immediately.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node unresponsive = fleet.mNodes.get(3);
        fleet.dropMessagesOnLinksOf(unresponsive);
        long position = publishTo(fleet, fleet.mNodes.get(0));
        fleet.run(8_000);
        assertThat(fleet.allAt(position)).isTrue();
        assertThat(unresponsive.count(GossipEvent.LINK_SILENT)).isPositive();
        assertThat(isUnreachableForAny(fleet, unresponsive)).isFalse();
    }

    @Test
    void crashedNodeIsUnreachableUntilRestart() {
        // Failure: peers disagree about a dead VM, or still consider it unreachable after a
        // restart. A VM crashes without closing its connections; all peers must mark it unreachable
        // within seconds, and reachable again once it has restarted.
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
        // Failure: callers of one side see changes that callers of the other side never see. During
        // a long partition each side marks the other unreachable; afterwards no node would dial
        // across.
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
        // Failure: a request is sent to a target that left while the process was paused. The
        // process resumes, its clock has advanced, and a request is read before any message of a
        // peer.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node paused = fleet.mNodes.get(2);
        SimulatedGossipFleet.Node leaving = fleet.mNodes.get(7);
        paused.pause();
        fleet.run(10_000);
        leaving.mGossip.announceLeaving(LeavingNotice.WHOLE_VM, fleet.mNowMillis);
        long position = publishTo(fleet, fleet.mNodes.get(0));
        fleet.run(10_000);
        StalenessGate gate = paused.mGossip.stalenessGate();
        assertThat(gate.mayAct(fleet.mNowMillis)).isFalse();
        paused.resume();
        long resumedMillis = fleet.mNowMillis;
        while (!gate.mayAct(fleet.mNowMillis)) {
            fleet.run(10);
        }
        assertThat(fleet.mNowMillis - resumedMillis).isLessThan(5_000);
        assertThat(paused.mGossip.position()).isEqualTo(position);
        assertThat(paused.mGossip.view().leaving(leaving.mVm.id())).isTrue();
    }

    @Test
    void isolatedResumedProcessProceedsAfterTimeout() {
        // Failure: a whole side of a partition rejects all requests. A process resumes without
        // reachable peers; if it waited indefinitely for a confirmation, no node would serve its
        // callers.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node paused = fleet.mNodes.get(2);
        paused.pause();
        fleet.run(10_000);
        for (SimulatedGossipFleet.Node other : fleet.mNodes) {
            fleet.block(other, paused);
        }
        paused.resume();
        fleet.run(200);
        assertThat(paused.mGossip.stalenessGate().mayAct(fleet.mNowMillis)).isFalse();
        fleet.run(6_000);
        assertThat(paused.mGossip.stalenessGate().mayAct(fleet.mNowMillis)).isTrue();
    }

    @Test
    void leavingNoticeReachesAllNodesAndEndsWithIncarnation() {
        // Failure: requests go to a VM that is leaving, or a restarted VM gets none. The platform's
        // list lags, so the node's own notice must reach all peers within 500 ms, and must expire
        // with the run that published it.
        SimulatedGossipFleet fleet = convergedFleet();
        SimulatedGossipFleet.Node leaving = fleet.mNodes.get(6);
        leaving.mGossip.announceLeaving(LeavingNotice.WHOLE_VM, fleet.mNowMillis);
        leaving.mGossip.announceLeaving("target-1", fleet.mNowMillis);
        fleet.run(500);
        for (SimulatedGossipFleet.Node other : fleet.mNodes) {
            assertThat(other.mGossip.view().leaving(leaving.mVm.id())).isTrue();
            assertThat(other.mGossip.view().leaving(leaving.mVm.id(), "target-1")).isTrue();
        }
        leaving.stop(false);
        leaving.start();
        fleet.run(5_000);
        for (SimulatedGossipFleet.Node other : fleet.mNodes) {
            assertThat(other.mGossip.view().leaving(leaving.mVm.id())).isFalse();
        }
    }
}
