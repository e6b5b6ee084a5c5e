package org.apricotgauge.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apricotgauge.decision.gossip.GossipEvent;
import org.apricotgauge.decision.gossip.GossipItem;
import org.apricotgauge.decision.gossip.GossipListener;
import org.apricotgauge.decision.gossip.GossipNode;
import org.apricotgauge.decision.gossip.GossipSettings;
import org.apricotgauge.decision.gossip.LeavingNotice;
import org.apricotgauge.decision.gossip.NodeIdentity;
import org.apricotgauge.decision.gossip.PeerMessage;
import org.apricotgauge.decision.gossip.PeerTransport;
import org.apricotgauge.decision.gossip.StateSummary;
import org.apricotgauge.decision.gossip.VmView;
import org.apricotgauge.decision.gossip.WatcherElection;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Vm;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.platform.VmPage;

/** Memory and time of one node's control state in a fleet of 7,100, without a socket. */
final class ControlStateCost {
    private static final int NODES = 7_100;
    private static final int DOMAINS = 12;
    private static final int LINKS = 8;
    private static final int TICKS = 20_000;
    private static final int ELECTIONS = 500;
    private static final long TICK_MILLIS = 100;
    private static final int TICKS_BETWEEN_ACKS = 1_000;
    private static final double BYTES_PER_MEGABYTE = 1e6;
    private static final double NANOS_PER_MICRO = 1e3;

    /** Sends nothing and hears nothing. */
    private static final class Nowhere
            implements PeerTransport<ChainFold.Chain>, GossipListener<ChainFold.Chain> {
        private final List<Long> mDialled = new ArrayList<>();

        @Override
        public void dial(long link, Address address) {
            mDialled.add(link);
        }

        @Override
        public void send(long link, PeerMessage message) {}

        @Override
        public void close(long link) {}

        @Override
        public void encodeSnapshot(ChainFold.Chain history) {}

        @Override
        public void decodeSnapshot(List<byte[]> chunks) {}

        @Override
        public void onHistory(ChainFold.Chain history) {}

        @Override
        public void onView(VmView view) {}

        @Override
        public void onLeaving(LeavingNotice notice) {}

        @Override
        public void onEvidence(GossipItem item) {}

        @Override
        public void onEvent(GossipEvent event) {}
    }

    private ControlStateCost() {}

    static void print() {
        long before = usedBytes();
        Nowhere nowhere = new Nowhere();
        GossipNode<ChainFold.Chain> node =
                new GossipNode<>(
                        new NodeIdentity("site", vm(0), 1, List.of()),
                        GossipSettings.DEFAULT,
                        new ChainFold(),
                        nowhere,
                        nowhere,
                        1,
                        0);
        fill(node);
        long heldBytes = usedBytes() - before;
        long nowMillis = link(node, nowhere);
        double tickMicros = tick(node, nowMillis);
        double electionMicros = elect(node);
        System.out.printf(
                Locale.ROOT,
                "state with %d VMs: %.1f MB held, %.1f us a tick (10 a second) with %d links,"
                        + " %.0f us an election (1 a second)%n",
                node.view().size(),
                heldBytes / BYTES_PER_MEGABYTE,
                tickMicros,
                node.establishedLinks(),
                electionMicros);
    }

    private static Vm vm(int i) {
        String host = "10.0." + i / 250 + "." + i % 250;
        return new Vm("vm-" + i, "domain-" + i % DOMAINS, host, 1, 2, 3, 4);
    }

    private static void fill(GossipNode<ChainFold.Chain> node) {
        List<VmStatus> vms = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            vms.add(new VmStatus(vm(i), VmStatus.State.LIVE));
        }
        node.onPublishedVms(0, new VmPage(1, vms, List.of(), false), 0);
    }

    private static long link(GossipNode<ChainFold.Chain> node, Nowhere nowhere) {
        long nowMillis = 0;
        StateSummary summary = node.summary();
        for (int i = 1; i <= LINKS / 2; i++) {
            PeerMessage hello =
                    new PeerMessage.Hello(
                            1, 1, "site", PeerMessage.Purpose.NEIGHBOUR, vm(i), 1, summary);
            node.onAccepted(-i, nowMillis);
            node.onMessage(-i, hello, nowMillis);
        }
        while (node.establishedLinks() < LINKS) {
            nowMillis += TICK_MILLIS;
            node.tick(nowMillis);
            for (long link : nowhere.mDialled) {
                Vm peer = vm((int) (LINKS + link));
                node.onConnected(link);
                node.onMessage(
                        link,
                        new PeerMessage.Welcome(1, true, peer, 1, summary, List.of()),
                        nowMillis);
            }
            nowhere.mDialled.clear();
        }
        return nowMillis;
    }

    /** Ticks a millisecond apart, so that no link is exchanged and none falls silent. */
    private static double tick(GossipNode<ChainFold.Chain> node, long startMillis) {
        long nowMillis = startMillis;
        long startNanos = System.nanoTime();
        for (int i = 0; i < TICKS; i++) {
            nowMillis++;
            node.tick(nowMillis);
            if (i % TICKS_BETWEEN_ACKS == 0) {
                PeerMessage ack = new PeerMessage.Ack(0, node.summary());
                for (int link = -LINKS; link <= LINKS; link++) {
                    node.onMessage(link, ack, nowMillis);
                }
            }
        }
        return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / TICKS;
    }

    private static double elect(GossipNode<ChainFold.Chain> node) {
        int watching = 0;
        long startNanos = System.nanoTime();
        for (int i = 0; i < ELECTIONS; i++) {
            VmView view = node.view();
            WatcherElection.Role role =
                    WatcherElection.roleOf(
                            vm(i), view.nodes(), view::unreachable, node::lostPlatform);
            watching += role == WatcherElection.Role.WATCH ? 1 : 0;
        }
        if (watching > DOMAINS * WatcherElection.WATCHERS) {
            throw new IllegalStateException("too many watchers: " + watching);
        }
        return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / ELECTIONS;
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
