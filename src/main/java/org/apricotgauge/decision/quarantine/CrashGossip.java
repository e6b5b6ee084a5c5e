package org.apricotgauge.decision.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.apricotgauge.decision.TokenBucket;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.time.Ticker;

/**
 * Replicates the crash records of requests to all nodes by gossip.
 *
 * <pre>{@code
 * gossip.recordChanged(fingerprint);    // sent with the next ticks
 * gossip.tick();
 * gossip.received(from, message);
 * }</pre>
 *
 * <p>Three crashes may be observed by three nodes, and the next duplicate of the request may arrive
 * at a fourth, so even the first crash must reach all nodes within a second or two. A changed
 * record is sent to a few random nodes, which forward it in turn; messages may be lost. A node that
 * was partitioned or has just started receives what it missed by comparing checksums: in each
 * interval, every node sends a comparison request to the node a certain distance after it in the
 * order of the fleet. The distance changes with each interval, so that each node also receives one
 * request per interval, from another node each time. A node that has just started receives them
 * like any other. Nothing is sent while the table is empty. The bytes that a node sends are
 * bounded. Thread-safe.
 */
public final class CrashGossip {
    /** Ticks in which a changed record is sent, each time to {@link #FANOUT} nodes. */
    static final int ROUNDS = 3;

    /** Receivers per tick: one of the node's own failure domain, the others of any. */
    static final int FANOUT = 2;

    /** Interval of comparisons while a request is quarantined or a record changed recently. */
    static final long COMPARE_INTERVAL_MILLIS = 400;

    /** Interval of comparisons while nothing is quarantined and no record changed recently. */
    static final long IDLE_COMPARE_INTERVAL_MILLIS = 4_500;

    /** A change within this time is recent. */
    static final long RECENT_CHANGE_MILLIS = 30_000;

    /** Bytes that a node may send per second. */
    private static final double BYTES_PER_SECOND = 4_000;

    private static final double BURST_BYTES = 32_000;
    private static final int MESSAGE_OVERHEAD_BYTES = 48;
    private static final int LINE_OVERHEAD_BYTES = 24;
    private static final int CRASH_BYTES = 14;

    private final QuarantineTable mTable;
    private final Supplier<Peers> mPeers;
    private final Sender mSender;
    private final RandomGenerator mRandom;
    private final Ticker mTicker;
    private final TokenBucket mByteBudget;
    private final Map<Fingerprint, Integer> mRoundsLeft = new LinkedHashMap<>();
    private long mLastCompareMillis;
    private long mLastChangeMillis;
    private int mComparisons;

    /** Sends messages, which may be lost or duplicated; must not block. */
    @FunctionalInterface
    public interface Sender {
        /** Sends a message. */
        void send(Address to, CrashMessage message);
    }

    /**
     * The other nodes.
     *
     * @param sameDomain those of this node's failure domain
     * @param successors all, in the order shared by the fleet, beginning with the one after this
     *     node
     */
    public record Peers(List<Address> sameDomain, List<Address> successors) {
        /** No other nodes. */
        public static final Peers NONE = new Peers(List.of(), List.of());

        /** Creates immutable copies of the lists. */
        public Peers {
            sameDomain = List.copyOf(sameDomain);
            successors = List.copyOf(successors);
        }
    }

    /**
     * Creates the gossip of a process that has just started.
     *
     * @param table the crash records of this node
     * @param peers returns the other nodes as currently known
     * @param sender sends messages
     * @param random selects the receivers of changed records
     */
    public CrashGossip(
            QuarantineTable table,
            Supplier<Peers> peers,
            Sender sender,
            RandomGenerator random,
            Ticker ticker) {
        mTable = Checks.notNull("table", table);
        mPeers = Checks.notNull("peers", peers);
        mSender = Checks.notNull("sender", sender);
        mRandom = Checks.notNull("random", random);
        mTicker = Checks.notNull("ticker", ticker);
        mByteBudget = new TokenBucket(BYTES_PER_SECOND, BURST_BYTES, ticker.millis());
        mLastCompareMillis = ticker.millis();
        mLastChangeMillis = ticker.millis() - RECENT_CHANGE_MILLIS;
    }

    /** Schedules the changed record of a request to be sent. */
    public synchronized void recordChanged(Fingerprint fingerprint) {
        mRoundsLeft.put(fingerprint, ROUNDS);
        mLastChangeMillis = mTicker.millis();
    }

    /**
     * Sends what is due; called about ten times per second, after a crash, and after an operator
     * released a request.
     */
    public synchronized void tick() {
        Peers peers = mPeers.get();
        if (peers.successors().isEmpty()) {
            return;
        }
        sendChangedRecords(peers);
        long nowMillis = mTicker.millis();
        if (mTable.size() > 0
                && nowMillis - mLastCompareMillis >= compareIntervalMillis(nowMillis)) {
            mLastCompareMillis = nowMillis;
            send(nextComparisonPeer(peers.successors()), CrashMessage.Kind.ASK, List.of());
        }
    }

    private long compareIntervalMillis(long nowMillis) {
        boolean isRecent = nowMillis - mLastChangeMillis < RECENT_CHANGE_MILLIS;
        return isRecent || mTable.quarantinedCount() > 0
                ? COMPARE_INTERVAL_MILLIS
                : IDLE_COMPARE_INTERVAL_MILLIS;
    }

    // Distances double, so that after a partition heals, records cross it in few steps.
    private Address nextComparisonPeer(List<Address> successors) {
        int distances = Integer.SIZE - Integer.numberOfLeadingZeros(successors.size());
        int distance = 1 << (mComparisons++ % distances);
        return successors.get(distance - 1);
    }

    private void sendChangedRecords(Peers peers) {
        if (mRoundsLeft.isEmpty()) {
            return;
        }
        List<Fingerprint> sent =
                mRoundsLeft.keySet().stream().limit(CrashMessage.MAX_LINES).toList();
        List<CrashMessage.Line> lines = sent.stream().map(this::lineOf).toList();
        for (Address peer : chooseReceivers(peers)) {
            if (!send(peer, CrashMessage.Kind.NEWS, lines)) {
                return;
            }
        }
        for (Fingerprint fingerprint : sent) {
            int roundsLeft = mRoundsLeft.remove(fingerprint) - 1;
            if (roundsLeft > 0) {
                mRoundsLeft.put(fingerprint, roundsLeft);
            }
        }
    }

    private List<Address> chooseReceivers(Peers peers) {
        List<Address> receivers = new ArrayList<>(FANOUT);
        receivers.add(
                randomPeer(peers.sameDomain().isEmpty() ? peers.successors() : peers.sameDomain()));
        while (receivers.size() < FANOUT) {
            receivers.add(randomPeer(peers.successors()));
        }
        return receivers;
    }

    private Address randomPeer(List<Address> peers) {
        return peers.get(mRandom.nextInt(peers.size()));
    }

    /** Handles a message from another node. */
    public void received(Address from, CrashMessage message) {
        long nowMillis = mTicker.millis();
        boolean isUpdate = message.kind() == CrashMessage.Kind.NEWS;
        mTable.merge(
                message.lines().stream().map(line -> line.toEntry(nowMillis)).toList(), isUpdate);
        boolean isInSync = message.sum() == mTable.checksum();
        if (message.kind() == CrashMessage.Kind.ASK && !isInSync) {
            sendAllRecords(from, CrashMessage.Kind.LAST_PART);
        }
        if (message.kind() == CrashMessage.Kind.LAST_PART && !isInSync) {
            sendAllRecords(from, CrashMessage.Kind.PART);
        }
    }

    private synchronized void sendAllRecords(Address to, CrashMessage.Kind lastKind) {
        List<CrashMessage.Line> lines =
                mTable.entries().stream()
                        .map(entry -> CrashMessage.Line.of(entry, mTicker.millis()))
                        .toList();
        int from = 0;
        do {
            int until = Math.min(lines.size(), from + CrashMessage.MAX_LINES);
            boolean isLast = until == lines.size();
            CrashMessage.Kind kind = isLast ? lastKind : CrashMessage.Kind.PART;
            if (!send(to, kind, lines.subList(from, until))) {
                return;
            }
            from = until;
        } while (from < lines.size());
    }

    private CrashMessage.Line lineOf(Fingerprint fingerprint) {
        CrashRecord record = mTable.record(fingerprint);
        return CrashMessage.Line.of(
                new QuarantineTable.Entry(fingerprint, record), mTicker.millis());
    }

    private boolean send(Address to, CrashMessage.Kind kind, List<CrashMessage.Line> lines) {
        int bytes = MESSAGE_OVERHEAD_BYTES;
        for (CrashMessage.Line line : lines) {
            bytes += LINE_OVERHEAD_BYTES + CRASH_BYTES * line.crashIds().size();
        }
        if (!mByteBudget.tryConsume(bytes, mTicker.millis())) {
            return false;
        }
        mSender.send(to, new CrashMessage(kind, mTable.checksum(), lines));
        return true;
    }
}
