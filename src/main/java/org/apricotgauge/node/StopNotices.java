package org.apricotgauge.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.apricotgauge.decision.TokenBucket;
import org.apricotgauge.log.BoundedLog;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.stop.PeerStops;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Tells the peers that this node stops and when it ends, and records the stops of peers.
 *
 * <pre>{@code
 * notices.start(guardPort, port::send);
 * notices.membersChanged(members);
 * notices.tick();
 * }</pre>
 *
 * <p>Notices are datagrams; each peer gets {@link #ROUNDS} of them against loss. Entries that used
 * this guard lately are told first. In a fleet too large for the bound on datagrams, others learn
 * of the stop from the guard's answers only.
 */
final class StopNotices {
    /** How often each peer is told. */
    static final int ROUNDS = 3;

    /** Time between two rounds, in milliseconds. */
    static final long ROUND_MILLIS = 500;

    /** Datagrams a second, and as many more at once. */
    static final int DATAGRAMS_PER_SECOND = 80;

    private static final Logger LOGGER = Logger.getLogger(StopNotices.class);
    private static final int MAX_LOG_LINES_PER_SECOND = 10;

    private final StopSchedule mStop;
    private final long mIncarnation;
    private final Supplier<List<String>> mRecentHosts;
    private final Random mRandom;
    private final Ticker mTicker;
    private final PeerStops mPeerStops;
    private final BoundedLog mPeerLog;
    private final Counter mSent;
    private final Counter mReceived;
    private final Deque<Address> mQueue = new ArrayDeque<>();
    private List<SiteMembers.Peer> mPeers = List.of();
    private Sender mSender = (bytes, to) -> {};
    private int mGuardPort;
    private TokenBucket mDatagrams;
    private int mRounds;
    private long mNextRoundMillis;

    /** Sends a datagram, which may be lost. */
    @FunctionalInterface
    interface Sender {
        void send(byte[] bytes, Address to);
    }

    private record PeerStop(String guard, long remainingMillis, long leftOut) {}

    /**
     * Creates the notices of one node.
     *
     * @param incarnation incarnation of the node's guard
     * @param recentHosts hosts of the entries that used the guard lately
     * @param random order in which the other peers are told
     */
    StopNotices(
            StopSchedule stop,
            long incarnation,
            Supplier<List<String>> recentHosts,
            Random random,
            Ticker ticker,
            MetricRegistry registry) {
        mStop = Checks.notNull("stop", stop);
        mIncarnation = incarnation;
        mRecentHosts = Checks.notNull("recentHosts", recentHosts);
        mRandom = Checks.notNull("random", random);
        mTicker = Checks.notNull("ticker", ticker);
        mPeerLog = new BoundedLog(LOGGER, ticker, MAX_LOG_LINES_PER_SECOND);
        mPeerStops = new PeerStops(ticker, this::logPeerStop);
        mSent = registry.counter("stop.notices.sent");
        mReceived = registry.counter("stop.notices.received");
        registry.gauge("stop.notices.peers", () -> this::peerCount);
        registry.gauge("stop.peers", () -> mPeerStops::count);
        registry.gauge("stop.headers.malformed", () -> mPeerStops::malformedCount);
    }

    /** Returns the stops that peers have announced, by notices or by headers. */
    PeerStops peerStops() {
        return mPeerStops;
    }

    /** Sets where notices are sent; the caller owns the port. */
    synchronized void start(int guardPort, Sender sender) {
        mGuardPort = guardPort;
        mSender = Checks.notNull("sender", sender);
    }

    synchronized void membersChanged(SiteMembers members) {
        mPeers = members.peers();
    }

    /** Returns the number of peers that are told of a stop. */
    synchronized int peerCount() {
        return mPeers.size();
    }

    /** Handles a notice of another node. */
    void handle(Address from, StopNotice notice) {
        mReceived.inc();
        Address guard = new Address(from.host(), notice.guardPort());
        mPeerStops.record(guard, notice.incarnation(), notice.remainingMillis());
    }

    /** Sends the notices that are due; called by the worker at the begin of a stop, and often. */
    synchronized void tick() {
        mPeerStops.removeEnded();
        if (!mStop.hasBegun()) {
            return;
        }
        long nowMillis = mTicker.millis();
        if (mDatagrams == null) {
            mDatagrams = new TokenBucket(DATAGRAMS_PER_SECOND, DATAGRAMS_PER_SECOND, nowMillis);
            mNextRoundMillis = nowMillis;
        }
        if (mRounds < ROUNDS && nowMillis >= mNextRoundMillis) {
            mRounds++;
            mNextRoundMillis = nowMillis + ROUND_MILLIS;
            queueRound();
        }
        sendQueued(nowMillis);
    }

    private void queueRound() {
        Set<String> recentHosts = new LinkedHashSet<>(mRecentHosts.get());
        List<Address> recent = new ArrayList<>();
        List<Address> others = new ArrayList<>();
        for (SiteMembers.Peer peer : mPeers) {
            (recentHosts.contains(peer.address().host()) ? recent : others).add(peer.address());
        }
        Collections.shuffle(others, mRandom);
        recent.forEach(mQueue::addFirst);
        mQueue.addAll(others);
    }

    private void sendQueued(long nowMillis) {
        if (mQueue.isEmpty()) {
            return;
        }
        byte[] bytes =
                StopNoticeCodec.encode(
                        new StopNotice(mIncarnation, mStop.remainingMillis(), mGuardPort));
        while (!mQueue.isEmpty() && mDatagrams.tryConsume(1, nowMillis)) {
            mSender.send(bytes, mQueue.remove());
            mSent.inc();
        }
    }

    private void logPeerStop(Address guard, long remainingMillis) {
        mPeerLog.info(
                "guard stops", leftOut -> new PeerStop(guard.toString(), remainingMillis, leftOut));
    }
}
