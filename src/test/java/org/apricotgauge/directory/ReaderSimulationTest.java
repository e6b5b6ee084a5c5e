package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotgauge.directory.SimulatedSite.SiteNode;
import org.junit.jupiter.api.Test;

/** Few nodes read the platform, and all know what it says in time, whoever fails. */
class ReaderSimulationTest {
    private static final long SECOND_MILLIS = 1_000;

    /** A link of 10 Mbit/s. */
    private static final long NARROW_LINK_BYTES_PER_MILLI = 1_250;

    @Test
    void idleCallsDoNotGrowWithNodesPerFailureDomain() {
        // Each node that reads the platform itself costs a waiting watch, a question every second
        // or two, and a call for each change: at 113 nodes a hundred calls a second.
        long small = idleCalls(new SimulatedSite(3, 8, 1));
        long large = idleCalls(new SimulatedSite(3, 40, 1));

        System.out.printf("calls in 20 s at rest: 24 nodes %d, 120 nodes %d%n", small, large);
        // The site asks as often as its view must be made younger, whoever wants it; and one node
        // of each failure domain watches.
        long watches = 3 * (20 * SECOND_MILLIS / DirectoryFeed.WATCH_MILLIS + 1);
        long most = 20 * SECOND_MILLIS / SimulatedSite.TIMES.maxFreshAgeMillis() + 1 + watches;
        assertThat(small).isLessThan(most);
        assertThat(large).isLessThan(most);
    }

    private static long idleCalls(SimulatedSite site) {
        site.advance(10 * SECOND_MILLIS);
        assertThat(site.readers()).extracting(SiteNode::domain).containsOnly("d0", "d1", "d2");
        assertThat(site.readers()).hasSizeLessThanOrEqualTo(3);
        site.advance(20 * SECOND_MILLIS);
        return site.platform().callsInLast(20 * SECOND_MILLIS);
    }

    @Test
    void changeReachesAllNodesWithoutCallPerNode() {
        SimulatedSite site = new SimulatedSite(5, 22, 2);
        site.advance(10 * SECOND_MILLIS);

        site.publish("x", "d0");
        site.advance(200);

        assertThat(site.platform().callsInLast(200)).isLessThan(5 * 3);
        for (SiteNode node : site.nodes()) {
            assertThat(node.feed().newestRevision()).isEqualTo(112);
        }
    }

    @Test
    void outageCausesNoRetryStorm() {
        // The platform is away for 20 s. Each node that looks for it every 0.3 s would keep an
        // overloaded platform so; and the readers of the platform must still see its return at
        // once, since targets that are missing 2 s after it are gone.
        SimulatedSite site = new SimulatedSite(3, 40, 3);
        site.advance(10 * SECOND_MILLIS);

        site.platform().setUnavailable(true);
        site.advance(5 * SECOND_MILLIS);
        site.advance(15 * SECOND_MILLIS);
        long callsPerSecond = site.platform().callsInLast(15 * SECOND_MILLIS) / 15;
        site.platform().setUnavailable(false);
        site.publish("x", "d0");
        site.advance(SECOND_MILLIS);

        System.out.printf("120 nodes in an outage: %d calls a second%n", callsPerSecond);
        // Two nodes of each failure domain try every 0.6 s, all others 40 times a second together.
        assertThat(callsPerSecond).isLessThan(3 * 2 * 2 + 40);
        assertThat(site.nodes())
                .allMatch(node -> node.feed().newestRevision() == 122, "knows the change");
        site.advance(DirectoryFeed.WATCH_MILLIS + SuspectTracker.MAX_MILLIS);
        assertThat(site.readers()).hasSize(3);
    }

    @Test
    void silentConnectionsLeaveNoNodeStale() {
        SimulatedSite site = new SimulatedSite(3, 12, 4);
        site.advance(10 * SECOND_MILLIS);

        site.silenceConnections();
        site.publish("x", "d0");
        site.advance(SimulatedSite.TIMES.servesOnMillis() - 100);

        assertThat(site.nodes()).allMatch(node -> node.feed().newestRevision() == 38);
    }

    /** Guards against a word of leaving that waits behind a large configuration on its way. */
    @Test
    void largeConfigurationOnNarrowLinksDoesNotDelayLaterChange() {
        SimulatedSite site = new SimulatedSite(3, 24, 8);
        site.setLinkBandwidth(NARROW_LINK_BYTES_PER_MILLI);
        site.advance(10 * SECOND_MILLIS);

        site.publish("config", configurationOf(1_400));
        site.advance(300);
        site.publish("x", "d0");
        site.advance(SimulatedSite.TIMES.servesOnMillis() - 100);

        assertThat(site.nodes()).allMatch(node -> node.feed().newestRevision() == 75);
    }

    private static String configurationOf(int routes) {
        SplittableRandom random = new SplittableRandom(9);
        StringBuilder text = new StringBuilder();
        for (int route = 0; route < routes; route++) {
            text.append("{\"name\":\"r-").append(Long.toHexString(random.nextLong()));
            text.append("\",\"pathPrefix\":\"/").append(Integer.toHexString(random.nextInt()));
            text.append("/\",\"service\":\"service-").append(random.nextInt(3));
            text.append("\",\"kind\":\"idempotent\",\"priority\":1,\"maxAttempts\":3,");
            text.append("\"timeoutMs\":6000,\"targetLatencyMs\":1500,\"publicAccess\":false},\n");
        }
        return text.toString();
    }

    @Test
    void failedReaderDelaysNoOtherNode() {
        // The nodes of a failure domain learn all they know from one of them. It dies, or is
        // suspended, or the platform refuses it; right then a target leaves. The others must know
        // in time, and must agree on another reader rather than all become one.
        for (int fault = 0; fault < 3; fault++) {
            SimulatedSite site = new SimulatedSite(3, 20, 5);
            site.advance(10 * SECOND_MILLIS);
            for (SiteNode reader : site.readers()) {
                injectFault(reader, fault);
            }
            site.publish("x", "d0");
            site.advance(SimulatedSite.TIMES.servesOnMillis() - 100);

            assertThat(site.nodes())
                    .filteredOn(SiteNode::isUp)
                    .as("fault %d", fault)
                    .allMatch(node -> node.feed().newestRevision() == 62);
            site.advance(3 * SECOND_MILLIS);
            assertThat(site.platform().callsInLast(SECOND_MILLIS))
                    .as("fault %d", fault)
                    .isLessThan(30);
        }
    }

    @Test
    void remainingNodesStayCurrentWhenHalfTheNodesFail() {
        // Every second VM loses its power at one moment, readers among them; their targets stay
        // registered, so that all others still take them for parents. Right then a target leaves.
        SimulatedSite site = new SimulatedSite(3, 20, 6);
        site.advance(10 * SECOND_MILLIS);
        site.readers().forEach(SiteNode::kill);
        for (int i = 0; i < site.nodes().size(); i += 2) {
            site.nodes().get(i).kill();
        }

        site.publish("x", "d0");
        site.advance(SimulatedSite.TIMES.servesOnMillis() - 100);

        assertThat(site.nodes())
                .filteredOn(SiteNode::isUp)
                .allMatch(node -> node.feed().newestRevision() == 62);
        site.advance(8 * SECOND_MILLIS);
        assertThat(site.platform().callsInLast(SECOND_MILLIS)).isLessThan(30);
    }

    @Test
    void remainingNodesStayCurrentWithoutFailureDomain() {
        // A whole failure domain is lost, the one among them whose reader confirms the views of the
        // other readers. Its targets stay registered for some seconds.
        for (String lost : List.of("d0", "d1", "d2")) {
            SimulatedSite site = new SimulatedSite(3, 12, 7);
            site.advance(10 * SECOND_MILLIS);
            site.nodes().stream()
                    .filter(node -> node.domain().equals(lost))
                    .forEach(SiteNode::kill);

            site.publish("x", "d0");
            site.advance(SimulatedSite.TIMES.servesOnMillis() - 100);

            assertThat(site.nodes())
                    .filteredOn(SiteNode::isUp)
                    .hasSize(24)
                    .allMatch(node -> node.feed().newestRevision() == 38);
        }
    }

    private static void injectFault(SiteNode node, int fault) {
        switch (fault) {
            case 0 -> node.kill();
            case 1 -> node.pause();
            default -> node.setRefused(true);
        }
    }

    @Property(seed = "24", tries = 150)
    void connectedNodesLearnChangesInTimeUnderFaults(@ForAll long seed) {
        FaultSequence trouble = new FaultSequence(seed);
        for (int step = 0; step < 60; step++) {
            trouble.step();
        }
    }

    /** A course of faults, changes and calm, drawn from a seed. */
    private static final class FaultSequence {
        private final SplittableRandom mRandom;
        private final SimulatedSite mSite;
        private int mNextKey;

        private FaultSequence(long seed) {
            mRandom = new SplittableRandom(seed);
            mSite = new SimulatedSite(1 + mRandom.nextInt(3), 1 + mRandom.nextInt(16), seed);
            advance(8 * SECOND_MILLIS);
        }

        private void step() {
            SiteNode node = mSite.nodes().get(mRandom.nextInt(mSite.nodes().size()));
            SiteNode other = mSite.nodes().get(mRandom.nextInt(mSite.nodes().size()));
            int kind = mRandom.nextInt(15);
            switch (kind) {
                case 0 -> node.kill();
                case 1 -> pause(node);
                case 2 -> node.setRefused(true);
                case 3 -> mSite.nodes().forEach(one -> one.setRefused(false));
                case 4, 7, 8 -> injectPlatformFault(kind);
                case 5, 6 -> heal();
                case 9 -> mSite.silenceConnections();
                case 10 -> mSite.partitionPath(node, other);
                case 11 -> injectReaderFault();
                case 12 -> node.stepWallClock(mRandom.nextLong(-20_000, 20_000));
                default -> publishOrRemove();
            }
            advance(100 + mRandom.nextLong(4 * SECOND_MILLIS));
        }

        private void injectPlatformFault(int kind) {
            switch (kind) {
                case 4 -> mSite.platform().setUnavailable(true);
                case 7 -> mSite.platform().setLosesAnswers(true);
                default -> mSite.platform().dropHistory();
            }
        }

        private static void pause(SiteNode node) {
            if (node.isUp()) {
                node.pause();
            }
        }

        private void injectReaderFault() {
            List<SiteNode> readers = mSite.readers();
            int fault = mRandom.nextInt(3);
            readers.forEach(reader -> injectFault(reader, fault));
        }

        private void heal() {
            mSite.platform().setUnavailable(false);
            mSite.platform().setLosesAnswers(false);
            mSite.restorePaths();
            mSite.nodes().forEach(one -> one.setRefused(false));
            mSite.nodes().forEach(FaultSequence::restore);
            advance(2 * SimulatedSite.STABLE_MILLIS);
        }

        private static void restore(SiteNode node) {
            if (node.isUp()) {
                return;
            }
            if (node.isPaused()) {
                node.resume();
            } else {
                node.start();
            }
        }

        private void publishOrRemove() {
            if (mRandom.nextBoolean()) {
                mSite.publish("x" + mNextKey++, "d0");
            } else if (mNextKey > 0) {
                mSite.platform().remove("x" + mRandom.nextInt(mNextKey));
            }
        }

        private void advance(long millis) {
            for (long left = millis; left > 0; left -= 50) {
                mSite.advance(Math.min(left, 50));
                assertThat(mSite.staleNodes()).isEmpty();
            }
        }
    }
}
