package org.apricotgauge.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.bench.ChainFold;
import org.apricotgauge.decision.gossip.GossipItem;
import org.apricotgauge.decision.gossip.LeavingNotice;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Vm;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.platform.HttpPlatformClient;
import org.apricotgauge.platform.PlatformClient;
import org.apricotgauge.standin.PlatformMode;
import org.apricotgauge.standin.PlatformStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests control planes over real sockets; each step waits for a condition, never for a fixed time.
 */
class ControlPlaneTest {
    private static final long TIMEOUT_SECONDS = 30;

    private final PlatformStandin mStandin = PlatformStandin.start("127.0.0.1", 0);
    private final PlatformClient mClient = HttpPlatformClient.open(mStandin.uri());
    private final List<Node> mFleet = new ArrayList<>();

    /** One control plane, with latches for the events that its test awaits. */
    private static final class Node implements ControlListener<ChainFold.Chain> {
        final CountDownLatch mLeaving = new CountDownLatch(1);
        final CountDownLatch mEvidence = new CountDownLatch(1);
        final MetricRegistry mMetrics = new MetricRegistry();
        ControlPlane<ChainFold.Chain> mPlane;

        @Override
        public void onLeaving(LeavingNotice notice) {
            mLeaving.countDown();
        }

        @Override
        public void onEvidence(GossipItem evidence) {
            mEvidence.countDown();
        }
    }

    @AfterEach
    void stop() {
        mFleet.forEach(node -> node.mPlane.close());
        mClient.close();
        mStandin.close();
    }

    private Node start(int i, List<Address> seeds) throws Exception {
        Vm vm = new Vm("vm" + i, "d" + i, "127.0.0.1", 1, 2, 0, 4);
        ControlSettings settings =
                ControlSettings.of("site", vm).withSeeds(seeds).withStartJitterMillis(0);
        Node node = new Node();
        node.mPlane = ControlPlane.start(settings, new ChainFold(), mClient, node, node.mMetrics);
        mFleet.add(node);
        return node;
    }

    private static void await(CountDownLatch latch) throws InterruptedException {
        assertThat(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void distributesStateAndSurvivesPlatformOutage() throws Exception {
        Node first = start(0, List.of());
        Node second = start(1, List.of(first.mPlane.address()));
        mStandin.setVms(
                mFleet.stream()
                        .map(node -> new VmStatus(node.mPlane.vm(), VmStatus.State.LIVE))
                        .toList());
        mStandin.append("a");
        mStandin.append("b");
        for (Node node : mFleet) {
            node.mPlane.ready().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            while (node.mPlane.currentHistory().position() < 2) {
                Thread.onSpinWait();
            }
            assertThat(node.mPlane.mayAct()).isTrue();
        }
        mStandin.setMode(PlatformMode.DOWN);
        Node third = start(2, List.of(second.mPlane.address()));
        third.mPlane.ready().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(third.mPlane.currentHistory()).isEqualTo(first.mPlane.currentHistory());
        third.mPlane.publishEvidence("target-1", 1, 10_000, new byte[] {1});
        third.mPlane.announceLeaving("target-1");
        await(first.mEvidence);
        await(second.mLeaving);
    }

    @Test
    void isNotReadyWhileNobodyAnswers() throws Exception {
        // A node without routes answers every request with "no such route". It must not become
        // ready if the platform and all peers are unreachable at its start.
        mStandin.setMode(PlatformMode.DOWN);
        Node alone = start(0, List.of());
        while (alone.mMetrics.counter("platform.failures").getCount() < 3) {
            Thread.onSpinWait();
        }
        assertThat(alone.mPlane.ready()).isNotDone();
        mStandin.setMode(PlatformMode.UP);
        alone.mPlane.ready().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
