package org.apricotgauge.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.apricotgauge.decision.quarantine.CrashGossip;
import org.apricotgauge.decision.quarantine.CrashMessage;
import org.apricotgauge.decision.quarantine.Fingerprint;
import org.apricotgauge.decision.quarantine.QuarantineListener;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.event.RequestHeld;
import org.apricotgauge.event.RequestReleased;
import org.apricotgauge.log.BoundedLog;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Target;
import org.apricotgauge.operator.AdminSources;
import org.apricotgauge.operator.HeldRequest;
import org.apricotgauge.target.BrokenRun;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Tracks requests that crash targets, gossips them to the other nodes, and lets operators list them
 * and lift their quarantine.
 */
final class QuarantineService implements AdminSources.QuarantineSource {
    private static final Logger LOGGER = Logger.getLogger(QuarantineService.class);

    /** Requests whose names are kept for operators, at most. */
    private static final int MAX_REQUEST_NAMES = 1_024;

    private static final long FULL_LOG_INTERVAL_MILLIS = 60_000;

    private static final int MAX_LOG_LINES_PER_SECOND = 10;

    private static final Comparator<SiteMembers.Peer> PEER_ORDER =
            Comparator.comparing(SiteMembers.Peer::failureDomain)
                    .thenComparing(peer -> peer.address().toString());

    /** Requests that one log line lists at most. */
    private static final int MAX_LISTED_REQUESTS = 16;

    private final Ticker mTicker;
    private final NodeEvents mEvents;
    private final BoundedLog mLog;
    private final Counter mCrashes;
    private final Cache<Fingerprint, String> mRequestNames =
            Caffeine.newBuilder().maximumSize(MAX_REQUEST_NAMES).executor(Runnable::run).build();
    private final QuarantineTable mTable;
    private final CrashGossip mGossip;
    private final String mFailureDomain;
    private Address mOwnAddress;
    private List<SiteMembers.Peer> mKnownPeers = List.of();
    private volatile CrashGossip.Peers mPeers = CrashGossip.Peers.NONE;
    private volatile CrashMessageTransport mTransport;
    private volatile long mLastFullLogMillis = Long.MIN_VALUE / 2;

    /**
     * A request that was running at a target when the target ended.
     *
     * @param id identifier that the caller gave the request
     * @param fingerprint fingerprint that equal requests share
     * @param request method, host and path
     */
    private record InterruptedRequest(String id, String fingerprint, String request) {}

    private record EndedTarget(String target, List<InterruptedRequest> runs, long leftOut) {}

    /**
     * Creates the service; it sends no messages until it is started.
     *
     * @param failureDomain the node's own failure domain
     */
    QuarantineService(
            String failureDomain, Ticker ticker, NodeEvents events, MetricRegistry registry) {
        mFailureDomain = failureDomain;
        mTicker = ticker;
        mEvents = events;
        mLog = new BoundedLog(LOGGER, ticker, MAX_LOG_LINES_PER_SECOND);
        mCrashes = registry.counter("quarantine.crashes");
        mTable = new QuarantineTable(ticker, new ChangeListener());
        mGossip = new CrashGossip(mTable, () -> mPeers, this::send, new SplittableRandom(), ticker);
        registry.gauge("quarantine.held", () -> mTable::quarantinedCount);
        registry.gauge("quarantine.known", () -> mTable::size);
    }

    /** Starts to send and handle messages; the caller owns the transport and closes it. */
    synchronized void start(Address own, CrashMessageTransport transport) {
        mTransport = transport;
        mOwnAddress = own;
        mPeers = peersOf(mKnownPeers, mFailureDomain, own);
    }

    /** Handles a message of another node, on the port's thread. */
    void handleMessage(Address from, CrashMessage message) {
        mGossip.received(from, message);
    }

    QuarantineTable table() {
        return mTable;
    }

    synchronized void membersChanged(SiteMembers members) {
        mKnownPeers = members.peers();
        if (mOwnAddress != null) {
            mPeers = peersOf(mKnownPeers, mFailureDomain, mOwnAddress);
        }
    }

    /**
     * Returns the other nodes in the order that all nodes share, in which those of one failure
     * domain are adjacent.
     */
    static CrashGossip.Peers peersOf(List<SiteMembers.Peer> peers, String domain, Address own) {
        SiteMembers.Peer self = new SiteMembers.Peer(own, domain);
        List<SiteMembers.Peer> sorted = new ArrayList<>(peers);
        sorted.sort(PEER_ORDER);
        List<Address> successors = new ArrayList<>(sorted.size());
        sorted.stream()
                .filter(peer -> PEER_ORDER.compare(peer, self) > 0)
                .forEach(addTo(successors));
        sorted.stream()
                .filter(peer -> PEER_ORDER.compare(peer, self) < 0)
                .forEach(addTo(successors));
        List<Address> sameDomain =
                sorted.stream()
                        .filter(peer -> peer.failureDomain().equals(domain))
                        .map(SiteMembers.Peer::address)
                        .toList();
        return new CrashGossip.Peers(sameDomain, successors);
    }

    private static Consumer<SiteMembers.Peer> addTo(List<Address> addresses) {
        return peer -> addresses.add(peer.address());
    }

    /** Records that a target ended while it ran requests, and gossips this at once. */
    void recordTargetEnd(Target target, List<BrokenRun> runs) {
        mCrashes.inc();
        log(target, runs);
        runs.forEach(run -> mRequestNames.put(run.fingerprint(), run.request()));
        mTable.recordCrash(
                runs.stream().map(BrokenRun::fingerprint).toList(),
                ThreadLocalRandom.current().nextLong());
        mGossip.tick();
    }

    private void log(Target target, List<BrokenRun> runs) {
        List<InterruptedRequest> interrupted =
                runs.stream()
                        .limit(MAX_LISTED_REQUESTS)
                        .map(
                                run ->
                                        new InterruptedRequest(
                                                run.id(),
                                                run.fingerprint().toString(),
                                                run.request()))
                        .toList();
        mLog.info("target ended", leftOut -> new EndedTarget(target.id(), interrupted, leftOut));
    }

    /** Runs periodic work; called by one thread. */
    void tick() {
        mTable.expire();
        mGossip.tick();
    }

    private void send(Address to, CrashMessage message) {
        CrashMessageTransport transport = mTransport;
        if (transport != null) {
            transport.send(to, message);
        }
    }

    @Override
    public List<HeldRequest> read() {
        return mTable.entries().stream()
                .filter(entry -> !entry.record().crashes().isEmpty())
                .map(
                        entry ->
                                new HeldRequest(
                                        entry.fingerprint().toString(),
                                        nameOf(entry.fingerprint()),
                                        entry.record().crashes().size(),
                                        mTable.remainingQuarantineMillis(entry.fingerprint())))
                .toList();
    }

    @Override
    public boolean lift(String fingerprint) {
        Optional<Fingerprint> parsed = Fingerprint.parse(fingerprint);
        if (parsed.isEmpty()) {
            throw new IllegalArgumentException(
                    "fingerprint must be 16 hex digits, '-' and 16 hex digits");
        }
        boolean isKnown = mTable.release(parsed.get());
        LOGGER.infof("operator lifts the quarantine of %s, found: %s", fingerprint, isKnown);
        mGossip.tick();
        return isKnown;
    }

    private String nameOf(Fingerprint fingerprint) {
        String name = mRequestNames.getIfPresent(fingerprint);
        return name == null ? "not seen at this node" : name;
    }

    /** Gossips and logs changes of the table. */
    private final class ChangeListener implements QuarantineListener {
        @Override
        public void quarantined(Fingerprint fingerprint, int crashes, long heldMillis) {
            mEvents.record(
                    new RequestHeld(
                            fingerprint.toString(), nameOf(fingerprint), crashes, heldMillis));
        }

        @Override
        public void released(Fingerprint fingerprint) {
            mEvents.record(new RequestReleased(fingerprint.toString(), nameOf(fingerprint)));
        }

        @Override
        public void recordChanged(Fingerprint fingerprint, boolean isUrgent) {
            if (isUrgent) {
                mGossip.recordChanged(fingerprint);
            }
        }

        @Override
        public void tableFull() {
            long nowMillis = mTicker.millis();
            if (nowMillis - mLastFullLogMillis >= FULL_LOG_INTERVAL_MILLIS) {
                mLastFullLogMillis = nowMillis;
                LOGGER.warn("no room for one more request that was at work in a crash");
            }
        }
    }
}
