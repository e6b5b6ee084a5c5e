package org.apricotgauge.decision.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.apricotgauge.model.Address;
import org.apricotgauge.time.ManualTicker;

/** Simulates nodes that exchange crash gossip; messages take one tick or are lost. */
final class CrashGossipSimulation {
    static final int TICK_MILLIS = 100;
    private static final int DOMAINS = 3;

    private final ManualTicker mTicker = new ManualTicker();
    private final SplittableRandom mRandom;
    private final double mLossProbability;
    private final List<QuarantineTable> mTables = new ArrayList<>();
    private final List<CrashGossip> mGossips = new ArrayList<>();
    private final Map<Integer, Integer> mLinesSentByNode = new HashMap<>();
    private IntPredicate mIsPartitioned = node -> false;
    private List<Runnable> mInFlight = new ArrayList<>();
    private long mCrashId = 1;
    private int mMessagesSent;

    CrashGossipSimulation(int nodes, double lossProbability, long seed) {
        mRandom = new SplittableRandom(seed);
        mLossProbability = lossProbability;
        for (int i = 0; i < nodes; i++) {
            mTables.add(null);
            mGossips.add(null);
        }
        for (int i = 0; i < nodes; i++) {
            restart(i);
        }
    }

    void restart(int node) {
        QuarantineTable table = new QuarantineTable(mTicker, new GossipingListener(node));
        mTables.set(node, table);
        CrashGossip.Peers peers = peersOf(node);
        mGossips.set(
                node,
                new CrashGossip(
                        table,
                        () -> peers,
                        (to, message) -> send(node, to, message),
                        new SplittableRandom(mRandom.nextLong()),
                        mTicker));
    }

    private CrashGossip.Peers peersOf(int node) {
        List<Address> sameDomain = new ArrayList<>();
        List<Address> successors = new ArrayList<>();
        for (int i = 1; i < mTables.size(); i++) {
            int peer = (node + i) % mTables.size();
            successors.add(address(peer));
            if (peer % DOMAINS == node % DOMAINS) {
                sameDomain.add(address(peer));
            }
        }
        return new CrashGossip.Peers(sameDomain, successors);
    }

    private static Address address(int node) {
        return new Address("10.0.0.1", node + 1);
    }

    private void send(int from, Address to, CrashMessage message) {
        mMessagesSent++;
        mLinesSentByNode.merge(from, message.lines().size(), Integer::sum);
        int node = to.port() - 1;
        boolean arrives =
                mIsPartitioned.test(from) == mIsPartitioned.test(node)
                        && mRandom.nextDouble() >= mLossProbability;
        if (arrives) {
            mInFlight.add(() -> mGossips.get(node).received(address(from), message));
        }
    }

    /** Partitions the nodes for which the predicate holds from the others. */
    void partition(IntPredicate isPartitioned) {
        mIsPartitioned = isPartitioned;
    }

    /** Crashes a target at each of the nodes while it runs the request. */
    void crashAt(Fingerprint fingerprint, int... nodes) {
        for (int node : nodes) {
            mTables.get(node).recordCrash(List.of(fingerprint), mCrashId++);
            mGossips.get(node).tick();
        }
    }

    void run(int millis) {
        for (int passed = 0; passed < millis; passed += TICK_MILLIS) {
            List<Runnable> arriving = mInFlight;
            mInFlight = new ArrayList<>();
            arriving.forEach(Runnable::run);
            mTicker.advanceMillis(TICK_MILLIS);
            mGossips.forEach(CrashGossip::tick);
        }
    }

    /** Returns the nodes that would run the request. */
    Set<Integer> nodesNotQuarantining(Fingerprint fingerprint) {
        Set<Integer> nodes = new HashSet<>();
        for (int i = 0; i < mTables.size(); i++) {
            if (mTables.get(i).remainingQuarantineMillis(fingerprint) == 0) {
                nodes.add(i);
            }
        }
        return nodes;
    }

    QuarantineTable table(int node) {
        return mTables.get(node);
    }

    CrashGossip gossip(int node) {
        return mGossips.get(node);
    }

    long nowMillis() {
        return mTicker.millis();
    }

    int messagesSent() {
        return mMessagesSent;
    }

    void resetLinesSent() {
        mLinesSentByNode.clear();
    }

    int maxLinesSentByANode() {
        return mLinesSentByNode.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Gossips the urgent changes of a node. */
    private final class GossipingListener implements QuarantineListener {
        private final int mNode;

        private GossipingListener(int node) {
            mNode = node;
        }

        @Override
        public void quarantined(Fingerprint fingerprint, int crashes, long quarantineMillis) {}

        @Override
        public void released(Fingerprint fingerprint) {}

        @Override
        public void recordChanged(Fingerprint fingerprint, boolean isUrgent) {
            if (isUrgent) {
                mGossips.get(mNode).recordChanged(fingerprint);
            }
        }

        @Override
        public void tableFull() {}
    }
}
