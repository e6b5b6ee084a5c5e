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

/** Nodes that tell each other of crashes; messages take a tick, or are lost. */
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

    CrashGossipSimulation(int nodes, double lost, long seed) {
        mRandom = new SplittableRandom(seed);
        mLossProbability = lost;
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
        List<Address> near = new ArrayList<>();
        List<Address> after = new ArrayList<>();
        for (int i = 1; i < mTables.size(); i++) {
            int peer = (node + i) % mTables.size();
            after.add(address(peer));
            if (peer % DOMAINS == node % DOMAINS) {
                near.add(address(peer));
            }
        }
        return new CrashGossip.Peers(near, after);
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

    /** Nodes for which this holds are cut off from the others. */
    void partition(IntPredicate isCut) {
        mIsPartitioned = isCut;
    }

    /** Lets a target end at each of the nodes, with this request at work. */
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

    /** Returns the nodes that would let the request through. */
    Set<Integer> nodesNotQuarantining(Fingerprint fingerprint) {
        Set<Integer> ignorant = new HashSet<>();
        for (int i = 0; i < mTables.size(); i++) {
            if (mTables.get(i).remainingQuarantineMillis(fingerprint) == 0) {
                ignorant.add(i);
            }
        }
        return ignorant;
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

    /** Lets a node pass on what it learns. */
    private final class GossipingListener implements QuarantineListener {
        private final int mNode;

        private GossipingListener(int node) {
            mNode = node;
        }

        @Override
        public void quarantined(Fingerprint fingerprint, int crashes, long heldMillis) {}

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
