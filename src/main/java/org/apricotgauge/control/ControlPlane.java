package org.apricotgauge.control;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.decision.gossip.ConfigFold;
import org.apricotgauge.decision.gossip.GossipEvent;
import org.apricotgauge.decision.gossip.GossipItem;
import org.apricotgauge.decision.gossip.GossipListener;
import org.apricotgauge.decision.gossip.GossipNode;
import org.apricotgauge.decision.gossip.LeavingNotice;
import org.apricotgauge.decision.gossip.NodeIdentity;
import org.apricotgauge.decision.gossip.PeerMessage;
import org.apricotgauge.decision.gossip.PeerTransport;
import org.apricotgauge.decision.gossip.ReadinessPolicy;
import org.apricotgauge.decision.gossip.VmView;
import org.apricotgauge.decision.gossip.WatcherElection;
import org.apricotgauge.event.HlcTimestamp;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Vm;
import org.apricotgauge.peer.PeerLoop;
import org.apricotgauge.platform.PlatformClient;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * The control plane of one node: the configuration in force, the live VMs, and gossip.
 *
 * <pre>{@code
 * ControlPlane<ConfigHistory> control =
 *         ControlPlane.start(settings, new ConfigHistoryFold(), platform, listener, metrics);
 * control.ready().thenRun(callers::open);
 * ConfigHistory history = control.currentHistory();
 * }</pre>
 *
 * <p>A single thread does all its work. Code on a request's path reads atomic references: the
 * history and the view are immutable, and the version never decreases. The platform client is not
 * closed here; its owner closes it.
 *
 * @param <H> a folded history
 */
public final class ControlPlane<H> implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(ControlPlane.class);

    private final ControlSettings mSettings;
    private final ConfigFold<H> mFold;
    private final ControlListener<H> mListener;
    private final MetricRegistry mMetrics;
    private final FrameFilter mFrameFilter;
    private final Ticker mTicker = Ticker.system();
    private final PeerLoop mLoop;
    private final GossipNode<H> mGossipNode;
    private final PlatformReader<H> mPlatformReader;
    private final ReadinessPolicy mReadinessPolicy;
    private final AtomicReference<H> mHistory;
    private final AtomicReference<VmView> mVmView = new AtomicReference<>(VmView.EMPTY);
    private final CompletableFuture<Void> mReady = new CompletableFuture<>();
    private final long mStartedMillis;
    private volatile ReadinessPolicy.Decision mReadinessDecision =
            ReadinessPolicy.Decision.NO_RESPONSE;
    private volatile WatcherElection.Role mRole = WatcherElection.Role.PASSIVE;

    private ControlPlane(
            ControlSettings settings,
            ConfigFold<H> fold,
            PlatformClient platform,
            ControlListener<H> listener,
            MetricRegistry metrics,
            FrameFilter filter,
            PeerLoop loop) {
        mSettings = settings;
        mFold = fold;
        mListener = listener;
        mMetrics = metrics;
        mFrameFilter = filter;
        mLoop = loop;
        mHistory = new AtomicReference<>(fold.empty());
        mStartedMillis = mTicker.millis();
        mReadinessPolicy = new ReadinessPolicy(settings.readinessTimeoutMillis());
        NodeIdentity identity =
                new NodeIdentity(
                        settings.site(), settings.vm(), settings.incarnation(), settings.seeds());
        mGossipNode =
                new GossipNode<>(
                        identity,
                        settings.gossip(),
                        fold,
                        new LoopTransport(),
                        new GossipNodeListener(),
                        settings.seed(),
                        mStartedMillis);
        mPlatformReader =
                new PlatformReader<>(
                        settings, platform, mGossipNode, fold, new PlatformLoopExecutor(), metrics);
    }

    /**
     * Starts a control plane.
     *
     * @throws IOException if it cannot listen at the VM's address and peer port
     */
    public static <H> ControlPlane<H> start(
            ControlSettings settings,
            ConfigFold<H> fold,
            PlatformClient platform,
            ControlListener<H> listener,
            MetricRegistry metrics)
            throws IOException {
        return start(settings, fold, platform, listener, metrics, FrameFilter.NONE);
    }

    /** Starts a control plane that drops frames on purpose; see {@link FrameFilter}. */
    public static <H> ControlPlane<H> start(
            ControlSettings settings,
            ConfigFold<H> fold,
            PlatformClient platform,
            ControlListener<H> listener,
            MetricRegistry metrics,
            FrameFilter filter)
            throws IOException {
        Checks.notNull("settings", settings);
        Checks.notNull("platform", platform);
        Vm vm = settings.vm();
        PeerLoop loop =
                PeerLoop.bind(
                        "control-" + vm.id(),
                        vm.host(),
                        vm.peerPort(),
                        Ticker.system(),
                        Checks.notNull("metrics", metrics));
        ControlPlane<H> plane =
                new ControlPlane<>(
                        settings.withPeerPort(loop.port()),
                        Checks.notNull("fold", fold),
                        platform,
                        Checks.notNull("listener", listener),
                        metrics,
                        Checks.notNull("filter", filter),
                        loop);
        loop.start(plane.new PeerLoopHandler());
        return plane;
    }

    /** Returns the history in force; a request should read it only once. */
    public H currentHistory() {
        return mHistory.get();
    }

    /** Returns the current view of the VMs; a request should read it only once. */
    public VmView vmView() {
        return mVmView.get();
    }

    /**
     * Returns whether this process may act on its cached state.
     *
     * <p>Returns false after the process was paused, until a peer or the platform confirms its
     * version or the confirmation times out. Cheap enough to call for each request.
     */
    public boolean mayAct() {
        return mGossipNode.stalenessGate().mayAct(mTicker.millis());
    }

    /** Returns a future that completes when the node is ready to serve callers. */
    public CompletableFuture<Void> ready() {
        return mReady;
    }

    /** Returns what a new node waits for, or {@code READY}. */
    public ReadinessPolicy.Decision readinessDecision() {
        return mReadinessDecision;
    }

    /** Returns this node's current role in watching the platform. */
    public WatcherElection.Role watcherRole() {
        return mRole;
    }

    /** Returns this node's VM with the peer port that it listens at. */
    public Vm vm() {
        return mSettings.vm();
    }

    /** Returns the address of the control protocol. */
    public Address address() {
        return new Address(mSettings.vm().host(), mSettings.vm().peerPort());
    }

    /** Returns the id of the control thread, for measuring its CPU time. */
    public long threadId() {
        return mLoop.threadId();
    }

    /** Announces to the fleet that the whole VM is leaving. */
    public void announceLeaving() {
        announceLeaving(LeavingNotice.WHOLE_VM);
    }

    /** Announces to the fleet that one target on this VM is leaving. */
    public void announceLeaving(String target) {
        if (!target.equals(LeavingNotice.WHOLE_VM)) {
            Checks.id("target", target);
        }
        mLoop.execute(() -> mGossipNode.announceLeaving(target, mTicker.millis()));
    }

    /**
     * Publishes a piece of evidence to the fleet.
     *
     * <p>Each node forwards about 512 bytes a second for the whole fleet, counting 96 bytes of
     * overhead for each piece; beyond that rate and a burst of 16 KB, pieces are counted instead of
     * forwarded. Intended for verdicts and digests, not for single observations.
     *
     * @param key distinguishes the pieces of evidence of this node; at most 64 at a time
     * @param sequence a later one replaces an earlier one of the same key
     * @param lifetimeMillis how long the evidence is valid, in milliseconds
     * @param payload at most {@link GossipItem#MAX_PAYLOAD_BYTES}
     * @throws IllegalArgumentException if an argument is out of its bounds
     */
    public void publishEvidence(String key, long sequence, long lifetimeMillis, byte[] payload) {
        GossipItem evidence =
                new GossipItem(
                        GossipItem.Kind.EVIDENCE,
                        vm().id(),
                        key,
                        sequence,
                        lifetimeMillis,
                        payload.clone());
        mLoop.execute(() -> mGossipNode.publishEvidence(evidence, mTicker.millis()));
    }

    /**
     * Stops the control plane; what the sockets accept at once, such as a leaving notice, is still
     * sent.
     */
    @Override
    public void close() {
        mLoop.close();
    }

    private void tick() {
        long nowMillis = mTicker.millis();
        mGossipNode.tick(nowMillis);
        mPlatformReader.tick(nowMillis);
        mRole = mPlatformReader.role();
        if (!mReady.isDone()) {
            decideReadiness(nowMillis);
        }
    }

    private void decideReadiness(long nowMillis) {
        ReadinessPolicy.Observation observation =
                new ReadinessPolicy.Observation(
                        mGossipNode.position(),
                        Math.max(mGossipNode.highestKnownPosition(), mPlatformReader.head()),
                        mPlatformReader.hasAnswered(),
                        mPlatformReader.hasFailed(),
                        mGossipNode.vmRevision() > 0 || mPlatformReader.vmsListed(),
                        mGossipNode.respondingDomains(),
                        mGossipNode.knownDomains(),
                        nowMillis - mStartedMillis);
        mReadinessDecision = mReadinessPolicy.decide(observation);
        if (mReadinessDecision == ReadinessPolicy.Decision.READY) {
            LOGGER.infof("%s is ready at log position %d", vm().id(), mGossipNode.position());
            mReady.complete(null);
        }
    }

    private static PeerMessage clockReadingMessage(HlcTimestamp reading) {
        return new PeerMessage.ClockReading(reading.millis(), reading.logical());
    }

    /** Lets the platform reader run tasks on the loop's thread. */
    private final class PlatformLoopExecutor implements PlatformReader.LoopExecutor {
        @Override
        public void execute(Runnable task) {
            mLoop.execute(task);
        }

        @Override
        public long nowMillis() {
            return mTicker.millis();
        }
    }

    /** Lets the state machine send messages through the loop. */
    private final class LoopTransport implements PeerTransport<H> {
        @Override
        public void dial(long link, Address address) {
            mLoop.dial(link, address);
        }

        @Override
        public void send(long link, PeerMessage message) {
            if (message.isNews()) {
                mListener
                        .clockReading()
                        .ifPresent(reading -> mLoop.send(link, clockReadingMessage(reading)));
            }
            mLoop.send(link, message);
        }

        @Override
        public void close(long link) {
            mLoop.close(link);
        }

        @Override
        public void encodeSnapshot(H history) {
            ForkJoinPool.commonPool()
                    .execute(
                            () -> {
                                List<byte[]> chunks = mFold.encode(history);
                                mLoop.execute(
                                        () ->
                                                mGossipNode.onSnapshotEncoded(
                                                        chunks, mTicker.millis()));
                            });
        }

        @Override
        public void decodeSnapshot(List<byte[]> chunks) {
            ForkJoinPool.commonPool()
                    .execute(
                            () -> {
                                H snapshot = decodeOrNull(chunks);
                                mLoop.execute(() -> mGossipNode.onSnapshotDecoded(snapshot));
                            });
        }

        private H decodeOrNull(List<byte[]> chunks) {
            try {
                return mFold.decode(chunks);
            } catch (RuntimeException e) {
                LOGGER.warnf("cannot decode a snapshot received from a peer: %s", e.getMessage());
                return null;
            }
        }
    }

    /** Forwards the loop's events to the state machine. */
    private final class PeerLoopHandler implements PeerLoop.Handler {
        private final Map<Long, String> mRemoteVmIds = new HashMap<>();

        @Override
        public void onAccepted(long link) {
            mGossipNode.onAccepted(link, mTicker.millis());
        }

        @Override
        public void onConnected(long link) {
            mGossipNode.onConnected(link);
        }

        @Override
        public void onMessage(long link, PeerMessage message) {
            if (message instanceof PeerMessage.ClockReading reading) {
                mListener.onClockReading(new HlcTimestamp(reading.millis(), reading.logical()));
            } else if (mFrameFilter == FrameFilter.NONE || passes(link, message)) {
                mGossipNode.onMessage(link, message, mTicker.millis());
            }
        }

        @Override
        public void onClosed(long link) {
            mRemoteVmIds.remove(link);
            mGossipNode.onClosed(link, mTicker.millis());
        }

        @Override
        public void onTick() {
            tick();
        }

        @Override
        public void onFatalError(RuntimeException failure) {
            LOGGER.error("control plane stopped by an unexpected failure", failure);
            mReady.completeExceptionally(failure);
            mListener.onFatalError(failure);
        }

        private boolean passes(long link, PeerMessage message) {
            if (message instanceof PeerMessage.Hello hello) {
                mRemoteVmIds.put(link, hello.vm().id());
            } else if (message instanceof PeerMessage.Welcome welcome) {
                mRemoteVmIds.put(link, welcome.vm().id());
            }
            return mFrameFilter.passes(mRemoteVmIds.getOrDefault(link, ""), vm().id());
        }
    }

    /** Stores the state machine's updates and forwards them to the listener. */
    private final class GossipNodeListener implements GossipListener<H> {
        @Override
        public void onHistory(H history) {
            mHistory.set(history);
            mListener.onHistory(history);
        }

        @Override
        public void onView(VmView view) {
            mVmView.set(view);
            mListener.onView(view);
        }

        @Override
        public void onLeaving(LeavingNotice notice) {
            mListener.onLeaving(notice);
        }

        @Override
        public void onEvidence(GossipItem item) {
            mListener.onEvidence(item);
        }

        @Override
        public void onEvent(GossipEvent event) {
            mMetrics.counter("control.events." + event.name().toLowerCase(Locale.ROOT)).inc();
            if (event == GossipEvent.WOKE_FROM_PAUSE) {
                mPlatformReader.onResumed();
            }
            if (event.logged()) {
                LOGGER.warnf("%s at log position %d", event, mGossipNode.position());
            }
            mListener.onEvent(event);
        }
    }
}
