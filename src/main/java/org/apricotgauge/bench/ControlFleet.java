package org.apricotgauge.bench;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.control.ControlListener;
import org.apricotgauge.control.ControlPlane;
import org.apricotgauge.control.ControlSettings;
import org.apricotgauge.control.FrameFilter;
import org.apricotgauge.decision.gossip.GossipSettings;
import org.apricotgauge.model.Vm;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.platform.HttpPlatformClient;
import org.apricotgauge.platform.PlatformClient;
import org.apricotgauge.standin.PlatformStandin;

/** Control planes over real TCP on loopback in this process, and a stand-in of the platform. */
final class ControlFleet implements AutoCloseable {
    private static final int DOMAINS = 3;
    private static final String HOST = "127.0.0.1";
    private static final int FIRST_PORT = 1;

    /** One control plane with what was seen of it. */
    static final class Node implements ControlListener<ChainFold.Chain> {
        final MetricRegistry mMetrics = new MetricRegistry();
        volatile ControlPlane<ChainFold.Chain> mPlane;
        volatile long mPosition;
        volatile long mAdvancedNanos;

        @Override
        public void onHistory(ChainFold.Chain history) {
            mAdvancedNanos = System.nanoTime();
            mPosition = history.position();
        }

        long count(String counter) {
            return mMetrics.counter(counter).getCount();
        }
    }

    private final PlatformStandin mStandin = PlatformStandin.start(HOST, 0);
    private final PlatformClient mClient = HttpPlatformClient.open(mStandin.uri());
    private final List<Node> mNodes = new ArrayList<>();
    private final Set<String> mCutLinks = ConcurrentHashMap.newKeySet();

    ControlFleet(int size, long seed) {
        FrameFilter filter = (from, to) -> !mCutLinks.contains(from + '>' + to);
        for (int i = 0; i < size; i++) {
            Vm vm = new Vm("vm" + i, "domain" + i % DOMAINS, HOST, FIRST_PORT, FIRST_PORT, 0, 0);
            Node node = new Node();
            ControlSettings settings =
                    new ControlSettings(
                            "bench",
                            vm,
                            1,
                            i == 0 ? List.of() : List.of(mNodes.get(0).mPlane.address()),
                            GossipSettings.DEFAULT,
                            20_000,
                            10_000,
                            500,
                            seed + i);
            try {
                node.mPlane =
                        ControlPlane.start(
                                settings, new ChainFold(), mClient, node, node.mMetrics, filter);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            mNodes.add(node);
        }
        publishVms(VmStatus.State.LIVE);
    }

    PlatformStandin standin() {
        return mStandin;
    }

    List<Node> nodes() {
        return mNodes;
    }

    /** Swallows all frames of one way between two nodes. */
    void cut(int from, int to) {
        mCutLinks.add("vm" + from + ">vm" + to);
    }

    long sum(String counter) {
        return mNodes.stream().mapToLong(node -> node.count(counter)).sum();
    }

    /** Waits until all nodes are open and the links of each have settled. */
    void awaitOpen(long limitMillis) throws Exception {
        for (Node node : mNodes) {
            node.mPlane.ready().get(limitMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Waits until all nodes have a position; returns how many have not at the limit. */
    int awaitPosition(long position, long limitMillis) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        while (System.nanoTime() < deadline) {
            if (missing(position) == 0) {
                return 0;
            }
            Thread.sleep(1);
        }
        return missing(position);
    }

    private int missing(long position) {
        return (int) mNodes.stream().filter(node -> node.mPosition < position).count();
    }

    /** Publishes the list of VMs with one VM more, which has no node, in the given state. */
    void publishVms(VmStatus.State stateOfExtra) {
        List<VmStatus> vms = new ArrayList<>();
        mNodes.forEach(node -> vms.add(new VmStatus(node.mPlane.vm(), VmStatus.State.LIVE)));
        Vm extra = new Vm("extra", "domain0", HOST, 0, 0, 0, 0);
        vms.add(new VmStatus(extra, stateOfExtra));
        mStandin.setVms(vms);
    }

    @Override
    public void close() {
        mNodes.forEach(node -> node.mPlane.close());
        mClient.close();
        mStandin.close();
    }
}
