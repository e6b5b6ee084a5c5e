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
 * Spreads what each node knows of requests that crash targets to all nodes.
 *
 * <pre>{@code
 * gossip.changed(fingerprint);          // passed on at once, and for some ticks more
 * gossip.tick();
 * gossip.received(from, message);
 * }</pre>
 *
 * <p>Three crashes may be seen by three nodes, and the next copy arrive at a fourth, so that even
 * the first crash has to be known everywhere within a second or two. News goes to a few nodes drawn
 * at random, which do the same; messages may be lost. What is missed that way, by a node that was
 * cut off or has just started, comes with comparisons of sums: in each period every node asks the
 * one that stands so many places after it, and so is itself asked by one, another each time. A node
 * that has just started is asked like any other. Nothing is sent while nothing is known. Bytes of a
 * node are bounded. Thread-safe.
 */
public final class CrashGossip {
    /** Ticks in which news is passed on, each time to {@link #FANOUT} nodes. */
    static final int ROUNDS = 3;

    /** Nodes that are told in a tick: one of the own failure domain, the others of any. */
    static final int FANOUT = 2;

    /** Time between two comparisons while a request is held or something is new. */
    static final long COMPARE_INTERVAL_MILLIS = 400;

    /** Time between two comparisons while all that is known is old. */
    static final long IDLE_COMPARE_INTERVAL_MILLIS = 4_500;

    /** What changed within this time is new. */
    static final long RECENT_CHANGE_MILLIS = 30_000;

    /** Bytes that a node may send in a second. */
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

    /** Carries messages, which may be lost or come twice; must not block. */
    @FunctionalInterface
    public interface Sender {
        /** Sends a message. */
        void send(Address to, CrashMessage message);
    }

    /**
     * The other nodes.
     *
     * @param sameDomain those of the own failure domain
     * @param successors all, in the one order of the fleet, beginning with the one behind this node
     */
    public record Peers(List<Address> sameDomain, List<Address> successors) {
        /** There are none. */
        public static final Peers NONE = new Peers(List.of(), List.of());

        /** Checks the parts. */
        public Peers {
            sameDomain = List.copyOf(sameDomain);
            successors = List.copyOf(successors);
        }
    }

    /**
     * Creates the gossip of a process that has just started.
     *
     * @param table what this node knows
     * @param peers the other nodes as they are known now
     * @param port sends messages
     * @param random draws the nodes that are told
     */
    public CrashGossip(
            QuarantineTable table,
            Supplier<Peers> peers,
            Sender port,
            RandomGenerator random,
            Ticker ticker) {
        mTable = Checks.notNull("table", table);
        mPeers = Checks.notNull("peers", peers);
        mSender = Checks.notNull("port", port);
        mRandom = Checks.notNull("random", random);
        mTicker = Checks.notNull("ticker", ticker);
        mByteBudget = new TokenBucket(BYTES_PER_SECOND, BURST_BYTES, ticker.millis());
        mLastCompareMillis = ticker.millis();
        mLastChangeMillis = ticker.millis() - RECENT_CHANGE_MILLIS;
    }

    /** Passes on that the record of a request tells more than before. */
    public synchronized void recordChanged(Fingerprint fingerprint) {
        mRoundsLeft.put(fingerprint, ROUNDS);
        mLastChangeMillis = mTicker.millis();
    }

    /** Does what is due; called about ten times a second, and after news. */
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
        boolean isNew = nowMillis - mLastChangeMillis < RECENT_CHANGE_MILLIS;
        return isNew || mTable.quarantinedCount() > 0
                ? COMPARE_INTERVAL_MILLIS
                : IDLE_COMPARE_INTERVAL_MILLIS;
    }

    // Distances double, so that what one side of a healed cut knows crosses in few steps.
    private Address nextComparisonPeer(List<Address> after) {
        int distances = Integer.SIZE - Integer.numberOfLeadingZeros(after.size());
        int distance = 1 << (mComparisons++ % distances);
        return after.get(distance - 1);
    }

    private void sendChangedRecords(Peers peers) {
        if (mRoundsLeft.isEmpty()) {
            return;
        }
        List<Fingerprint> told =
                mRoundsLeft.keySet().stream().limit(CrashMessage.MAX_LINES).toList();
        List<CrashMessage.Line> lines = told.stream().map(this::lineOf).toList();
        for (Address peer : chooseReceivers(peers)) {
            if (!send(peer, CrashMessage.Kind.NEWS, lines)) {
                return;
            }
        }
        for (Fingerprint fingerprint : told) {
            int left = mRoundsLeft.remove(fingerprint) - 1;
            if (left > 0) {
                mRoundsLeft.put(fingerprint, left);
            }
        }
    }

    private List<Address> chooseReceivers(Peers peers) {
        List<Address> audience = new ArrayList<>(FANOUT);
        audience.add(
                randomPeer(peers.sameDomain().isEmpty() ? peers.successors() : peers.sameDomain()));
        while (audience.size() < FANOUT) {
            audience.add(randomPeer(peers.successors()));
        }
        return audience;
    }

    private Address randomPeer(List<Address> peers) {
        return peers.get(mRandom.nextInt(peers.size()));
    }

    /** Takes in a message of another node. */
    public void received(Address from, CrashMessage message) {
        long nowMillis = mTicker.millis();
        boolean isNews = message.kind() == CrashMessage.Kind.NEWS;
        mTable.merge(
                message.lines().stream().map(line -> line.toEntry(nowMillis)).toList(), isNews);
        boolean isSame = message.sum() == mTable.checksum();
        if (message.kind() == CrashMessage.Kind.ASK && !isSame) {
            sendAllRecords(from, CrashMessage.Kind.LAST_PART);
        }
        if (message.kind() == CrashMessage.Kind.LAST_PART && !isSame) {
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
