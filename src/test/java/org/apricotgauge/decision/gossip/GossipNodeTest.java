package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Failures of paths, peers and the platform, on a simulated network and clock. */
class GossipNodeTest {
    private static final int NODES = 9;
    private static final int DOMAINS = 3;

    private SimulatedFleet settled(GossipSettings settings) {
        SimulatedFleet fleet = new SimulatedFleet(NODES, DOMAINS, settings, 11);
        fleet.run(5_000);
        return fleet;
    }

    private SimulatedFleet settled() {
        return settled(GossipSettings.DEFAULT);
    }

    private static long publishTo(SimulatedFleet fleet, SimulatedFleet.Node reader) {
        long position = fleet.publish("body " + fleet.mLog.size());
        reader.readLog(position);
        return position;
    }

    private static boolean heldUnreachable(SimulatedFleet fleet, SimulatedFleet.Node node) {
        return fleet.mNodes.stream()
                .filter(other -> other != node && other.up())
                .anyMatch(other -> other.mMachine.view().unreachable(node.mVm.id()));
    }

    @Test
    void aStalePlatformPullsNobodyBack() {
        // Caller: a route that was changed hours ago comes back. A watcher reads version 5, the
        // platform then fails over to a copy that stands at 2, and a watcher that asks "what is
        // newest" would take 2 for the truth.
        SimulatedFleet fleet = settled();
        SimulatedFleet.Node watcher = fleet.mNodes.get(0);
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
    void aRestartedNodeTakesTheHighestFromPeersWhileThePlatformIsStale() {
        // Caller: a node that was replaced serves an old version. It starts empty, the platform
        // answers with an older head, and only peers know the version in force. It has to stay
        // closed until it has what they have.
        SimulatedFleet fleet = settled();
        for (int i = 0; i < 5; i++) {
            publishTo(fleet, fleet.mNodes.get(0));
        }
        fleet.run(1_000);
        SimulatedFleet.Node fresh = fleet.mNodes.get(4);
        fresh.kill(true);
        fresh.start();
        fresh.readLog(2);
        OpeningPolicy policy = new OpeningPolicy(10_000);
        long startMillis = fleet.mNowMillis;
        while (!opens(policy, fresh, fleet.mNowMillis - startMillis)) {
            fleet.run(100);
        }
        assertThat(fresh.mMachine.position()).isEqualTo(5);
        assertThat(fleet.mNowMillis - startMillis).isLessThan(3_000);
    }

    private static boolean opens(
            OpeningPolicy policy, SimulatedFleet.Node node, long waitedMillis) {
        GossipNode<?> machine = node.mMachine;
        return policy.decide(
                        new OpeningPolicy.Observation(
                                machine.position(),
                                machine.highestHeard(),
                                true,
                                false,
                                machine.vmRevision() > 0,
                                machine.domainsHeard(),
                                machine.domainsKnown(),
                                waitedMillis))
                == OpeningPolicy.Decision.OPEN;
    }

    @Test
    void aOneWayPartitionMakesNobodyUnreachable() {
        // Caller: a healthy VM gets no work any more. Frames from one node to another vanish while
        // the reverse path works; the second hears no heartbeat, dials in vain, and without asking
        // others it would tell the fleet that the first is dead.
        SimulatedFleet fleet = settled();
        SimulatedFleet.Node from = fleet.mNodes.get(1);
        SimulatedFleet.Node to = fleet.mNodes.get(2);
        fleet.cut(from, to);
        for (int i = 0; i < 30; i++) {
            fleet.run(1_000);
            assertThat(heldUnreachable(fleet, from)).as("second %d", i).isFalse();
            assertThat(heldUnreachable(fleet, to)).as("second %d", i).isFalse();
        }
        assertThat(fleet.count(GossipEvent.PATH_FAULT)).isPositive();
        assertThat(fleet.count(GossipEvent.SUSPICION_RAISED)).isZero();
        long position = publishTo(fleet, from);
        fleet.run(2_000);
        assertThat(fleet.allAt(position)).isTrue();
    }

    @Test
    void aSilentConnectionIsClosedAndDialledAnew() {
        // Caller: one node keeps serving an old version. Something between the ends has lost track
        // of its connections; they look open, carry nothing, and TCP tells after a quarter of an
        // hour, while a new connection would work at once.
        SimulatedFleet fleet = settled();
        SimulatedFleet.Node mute = fleet.mNodes.get(3);
        fleet.silenceLinksOf(mute);
        long position = publishTo(fleet, fleet.mNodes.get(0));
        fleet.run(8_000);
        assertThat(fleet.allAt(position)).isTrue();
        assertThat(mute.count(GossipEvent.LINK_SILENT)).isPositive();
        assertThat(heldUnreachable(fleet, mute)).isFalse();
    }

    @Test
    void aDeadNodeIsUnreachableForAllAndComesBack() {
        // Caller: nothing, if the fleet knows. A VM vanishes without a word; its peers must agree
        // within seconds, and take it in again once it has restarted.
        SimulatedFleet fleet = settled();
        SimulatedFleet.Node dead = fleet.mNodes.get(5);
        dead.kill(true);
        fleet.run(20_000);
        for (SimulatedFleet.Node other : fleet.mNodes) {
            if (other != dead) {
                assertThat(other.mMachine.view().unreachable(dead.mVm.id())).isTrue();
            }
        }
        dead.start();
        fleet.run(3_000);
        assertThat(heldUnreachable(fleet, dead)).isFalse();
    }

    @Test
    void theSidesOfAPartitionFindEachOtherAfterIt() {
        // Caller: callers of one side see changes that those of the other never get. During a long
        // partition each side drops the other; afterwards nobody would dial across.
        SimulatedFleet fleet = settled();
        List<SimulatedFleet.Node> left = fleet.mNodes.subList(0, 4);
        List<SimulatedFleet.Node> right = fleet.mNodes.subList(4, NODES);
        for (SimulatedFleet.Node a : left) {
            for (SimulatedFleet.Node b : right) {
                fleet.cut(a, b);
                fleet.cut(b, a);
            }
        }
        fleet.run(120_000);
        long position = publishTo(fleet, left.get(0));
        fleet.run(5_000);
        assertThat(right.get(0).mMachine.position()).isZero();
        fleet.heal();
        fleet.run(20_000);
        assertThat(fleet.allAt(position)).isTrue();
    }

    @Test
    void aPausedProcessAsksBeforeItActs() {
        // Caller: a request goes to a target that left while the process slept. It wakes, its
        // clock has moved on, and a request is read before any peer was heard.
        SimulatedFleet fleet = settled();
        SimulatedFleet.Node sleeper = fleet.mNodes.get(2);
        SimulatedFleet.Node leaver = fleet.mNodes.get(7);
        sleeper.pause();
        fleet.run(10_000);
        leaver.mMachine.announceLeaving(LeavingNotice.WHOLE_VM, fleet.mNowMillis);
        long position = publishTo(fleet, fleet.mNodes.get(0));
        fleet.run(10_000);
        FreshnessGuard guard = sleeper.mMachine.freshness();
        assertThat(guard.mayAct(fleet.mNowMillis)).isFalse();
        sleeper.resume();
        long wokeMillis = fleet.mNowMillis;
        while (!guard.mayAct(fleet.mNowMillis)) {
            fleet.run(10);
        }
        assertThat(fleet.mNowMillis - wokeMillis).isLessThan(5_000);
        assertThat(sleeper.mMachine.position()).isEqualTo(position);
        assertThat(sleeper.mMachine.view().leaving(leaver.mVm.id())).isTrue();
    }

    @Test
    void aProcessThatWakesCutOffGoesOnAfterAWhile() {
        // Caller: a whole side of a partition refuses work. A process wakes alone; if it waited for
        // ever to be confirmed, its callers would have nobody.
        SimulatedFleet fleet = settled();
        SimulatedFleet.Node sleeper = fleet.mNodes.get(2);
        sleeper.pause();
        fleet.run(10_000);
        for (SimulatedFleet.Node other : fleet.mNodes) {
            fleet.cut(other, sleeper);
        }
        sleeper.resume();
        fleet.run(200);
        assertThat(sleeper.mMachine.freshness().mayAct(fleet.mNowMillis)).isFalse();
        fleet.run(6_000);
        assertThat(sleeper.mMachine.freshness().mayAct(fleet.mNowMillis)).isTrue();
    }

    @Test
    void aLeavingNoticeReachesAllAtOnceAndEndsWithTheRun() {
        // Caller: nothing, if told in time. The platform's list lags; the node's own word must be
        // with all peers at once, and must not outlive the run that gave it.
        SimulatedFleet fleet = settled();
        SimulatedFleet.Node leaver = fleet.mNodes.get(6);
        leaver.mMachine.announceLeaving(LeavingNotice.WHOLE_VM, fleet.mNowMillis);
        leaver.mMachine.announceLeaving("target-1", fleet.mNowMillis);
        fleet.run(500);
        for (SimulatedFleet.Node other : fleet.mNodes) {
            assertThat(other.mMachine.view().leaving(leaver.mVm.id())).isTrue();
            assertThat(other.mMachine.view().leaving(leaver.mVm.id(), "target-1")).isTrue();
        }
        leaver.kill(false);
        leaver.start();
        fleet.run(5_000);
        for (SimulatedFleet.Node other : fleet.mNodes) {
            assertThat(other.mMachine.view().leaving(leaver.mVm.id())).isFalse();
        }
    }
}
