package org.apricotgauge.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.bench.ChainFold;
import org.apricotgauge.decision.gossip.LeavingNotice;
import org.apricotgauge.event.HlcTimestamp;
import org.apricotgauge.event.HybridClock;
import org.apricotgauge.model.Vm;
import org.apricotgauge.platform.HttpPlatformClient;
import org.apricotgauge.platform.PlatformClient;
import org.apricotgauge.standin.PlatformStandin;
import org.junit.jupiter.api.Test;

/**
 * Tests the order of events across nodes that are connected only by the control protocol.
 *
 * <p>A node announces that it is leaving, and another node, whose wall clock is a minute behind,
 * records it. By wall clocks the timeline would show the receipt a minute before the announcement.
 * The sender's clock reading precedes the update, so that the receiver's reading is greater.
 */
class ControlClockTest {
    private static final long TIMEOUT_SECONDS = 30;
    private static final long WALL_MILLIS = 1_700_000_000_000L;

    private static final class Node implements ControlListener<ChainFold.Chain> {
        final HybridClock mClock;
        final CompletableFuture<HlcTimestamp> mReceivedAt = new CompletableFuture<>();
        ControlPlane<ChainFold.Chain> mPlane;

        Node(long wallMillis) {
            mClock = new HybridClock(() -> Instant.ofEpochMilli(wallMillis));
        }

        @Override
        public Optional<HlcTimestamp> clockReading() {
            return Optional.of(mClock.now());
        }

        @Override
        public void onClockReading(HlcTimestamp reading) {
            mClock.observe(reading);
        }

        @Override
        public void onLeaving(LeavingNotice notice) {
            mReceivedAt.complete(mClock.now());
        }
    }

    @Test
    void receiverClockExceedsSenderClock() throws Exception {
        try (PlatformStandin platform = PlatformStandin.start("127.0.0.1", 0);
                PlatformClient client = HttpPlatformClient.open(platform.uri())) {
            Node ahead = new Node(WALL_MILLIS);
            Node behind = new Node(WALL_MILLIS - 60_000);
            start(ahead, client, ControlSettings.of("site", vm(0)));
            start(
                    behind,
                    client,
                    ControlSettings.of("site", vm(1)).withSeeds(List.of(ahead.mPlane.address())));
            behind.mPlane.ready().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

            HlcTimestamp announcedAt = ahead.mClock.now();
            ahead.mPlane.announceLeaving();

            assertThat(behind.mReceivedAt.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isGreaterThan(announcedAt);
            behind.mPlane.close();
            ahead.mPlane.close();
        }
    }

    private static Vm vm(int i) {
        return new Vm("vm" + i, "d" + i, "127.0.0.1", 1, 2, 0, 4);
    }

    private static void start(Node node, PlatformClient client, ControlSettings settings)
            throws Exception {
        node.mPlane =
                ControlPlane.start(
                        settings.withStartJitterMillis(0),
                        new ChainFold(),
                        client,
                        node,
                        new MetricRegistry());
    }
}
