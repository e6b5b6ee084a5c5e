package org.apricotgauge.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.caller.EntryHandler;
import org.apricotgauge.caller.EntryOptions;
import org.apricotgauge.cli.ProductVersion;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.control.ConfigHistoryFold;
import org.apricotgauge.control.ControlListener;
import org.apricotgauge.control.ControlPlane;
import org.apricotgauge.control.ControlSettings;
import org.apricotgauge.decision.attempt.AttemptIds;
import org.apricotgauge.decision.attempt.AttemptLedger;
import org.apricotgauge.decision.attempt.AttemptLimits;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.detection.Verdicts;
import org.apricotgauge.decision.gossip.GossipItem;
import org.apricotgauge.decision.gossip.LeavingNotice;
import org.apricotgauge.decision.gossip.LiveView;
import org.apricotgauge.event.HlcTimestamp;
import org.apricotgauge.event.NodeStarted;
import org.apricotgauge.event.StopPhase;
import org.apricotgauge.event.StopPhaseEntered;
import org.apricotgauge.event.VersionInForce;
import org.apricotgauge.event.VmLeaving;
import org.apricotgauge.http.FleetDialect;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.model.Vm;
import org.apricotgauge.operator.AdminServer;
import org.apricotgauge.operator.AdminSources;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.operator.OutcomeWindows;
import org.apricotgauge.peer.hop.GuardClient;
import org.apricotgauge.platform.HttpPlatformClient;
import org.apricotgauge.platform.PlatformClient;
import org.apricotgauge.target.GuardHandler;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;

/**
 * One node: the entry for callers and the guard of its VM's targets, in one process.
 *
 * <pre>{@code
 * Node node = Node.start(settings);
 * node.drain();
 * }</pre>
 */
public final class Node implements AutoCloseable {
    private static final String SITE = "site";
    private static final long DECIDE_EVERY_MILLIS = 100;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final int WINDOWS = 64;

    /** Peers hear of a stop within this time; until then they still send, and are served. */
    private static final long ANNOUNCE_MILLIS = 1_500;

    private final NodeSettings mSettings;
    private final Ticker mTicker = Ticker.system();
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final long mStartedMillis = System.currentTimeMillis();
    private final NodeEvents mEvents;
    private final FleetRecorder mFleetRecorder;
    private final OutcomeWindows mWindows = new OutcomeWindows(mTicker, WINDOWS);
    private final NodeHttp mHttp;
    private final ScheduledExecutorService mWorker =
            Executors.newSingleThreadScheduledExecutor(Node::workerThread);
    private final RoutingState mState;
    private final DetectionService mDetection;
    private final ProbeTokens mProbes;
    private final EvidencePublisher mPublisher;
    private final EntryHandler mEntry;
    private final GuardHandler mGuard;
    private final Server mCallerServer;
    private final Server mGuardServer;
    private final AdminServer mAdmin;
    private final PlatformClient mPlatform;
    private final CompletableFuture<RuntimeException> mBroken = new CompletableFuture<>();
    private volatile ControlPlane<ConfigHistory> mControl;
    private volatile NodePhase mPhase = NodePhase.STARTING;
    private volatile boolean mDraining;

    private Node(NodeSettings settings) {
        mSettings = settings;
        mEvents = new NodeEvents(settings.vm(), mStartedMillis);
        mFleetRecorder = new FleetRecorder(mEvents);
        mRegistry.gauge("clock.readings.refused", () -> mEvents::refusedReadings);
        mHttp = new NodeHttp(settings.vm());
        mState = new RoutingState(settings.vm(), settings.failureDomain(), mTicker);
        mProbes = new ProbeTokens(mTicker, () -> mState.vms().nodes().size());
        VerdictRecorder recorder = new VerdictRecorder(mEvents, mWindows);
        mDetection =
                new DetectionService(
                        mState,
                        mTicker,
                        mStartedMillis,
                        (service, before, after) -> decided(recorder, service, before, after),
                        mWorker);
        mPublisher = new EvidencePublisher(settings.vm(), mState, mDetection, mTicker);
        NodeObserver observer = new NodeObserver(mDetection, mWindows, mEvents, mTicker);
        long incarnation = new SecureRandom().nextLong();
        KeyLimits.DEFAULT.requireCovers(AttemptLimits.DEFAULT);
        mEntry = entry(observer, incarnation);
        mGuard = guard(observer, incarnation);
        HttpServerFactory servers = mHttp.servers();
        mCallerServer =
                servers.create(settings.host(), settings.callerPort(), mEntry, mEntry::refused);
        mCallerServer.addBean(
                new NetworkConnectionLimit(settings.maxCallerConnections(), mCallerServer));
        mGuardServer = servers.create(settings.host(), settings.guardPort(), mGuard, () -> {});
        NodeStatusSource status =
                new NodeStatusSource(settings, mStartedMillis, mState, mDetection, mWindows);
        mAdmin =
                new AdminServer(
                        new AdminSources(
                                () -> NodeStatusSource.readiness(mPhase),
                                () -> status.read(mPhase, currentHistory()),
                                mEvents::read,
                                mRegistry),
                        settings.host(),
                        settings.adminPort(),
                        mTicker);
        mPlatform = HttpPlatformClient.open(settings.platform());
    }

    private EntryHandler entry(NodeObserver observer, long incarnation) {
        return new EntryHandler(
                mState::table,
                () -> mPhase == NodePhase.STOPPING,
                this::mayAct,
                new GuardClient(mHttp.forwarding(), mHttp.fencing(), mTicker),
                mHttp.targets(),
                new AttemptIds(mSettings.vm(), incarnation),
                mHttp.scheduler(),
                mTicker,
                observer,
                mProbes::take,
                EntryOptions.of(KeyLimits.DEFAULT),
                mRegistry);
    }

    private GuardHandler guard(NodeObserver observer, long incarnation) {
        return new GuardHandler(
                mSettings.vm(),
                mState::table,
                mHttp.targets(),
                new AttemptLedger(incarnation, AttemptLimits.DEFAULT),
                mHttp.scheduler(),
                mTicker,
                observer,
                mEntry::handleKeyed,
                FleetDialect.INSTANCE,
                mRegistry);
    }

    private static Thread workerThread(Runnable work) {
        Thread thread = new Thread(work, "node-worker");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Starts a node; it opens to callers once it knows the configuration in force.
     *
     * @throws IOException if it cannot listen at one of its ports
     */
    public static Node start(NodeSettings settings) throws IOException {
        Node node = new Node(settings);
        try {
            node.startParts();
        } catch (Exception e) {
            node.close();
            throw new IOException(
                    "node of " + settings.vm() + " does not start: " + e.getMessage(), e);
        }
        return node;
    }

    private void startParts() throws Exception {
        requireFree(mSettings.host(), mSettings.callerPort());
        mEvents.record(new NodeStarted(mSettings.failureDomain(), ProductVersion.text()));
        mHttp.start();
        mAdmin.start();
        mGuard.open();
        mGuardServer.start();
        ControlSettings control = ControlSettings.of(SITE, ownVm());
        mControl =
                ControlPlane.start(
                        control.withSeeds(mSettings.seedPeers()),
                        new ConfigHistoryFold(mFleetRecorder::refused),
                        mPlatform,
                        new FleetListener(),
                        mRegistry);
        mWorker.scheduleWithFixedDelay(
                guarded(this::tick),
                DECIDE_EVERY_MILLIS,
                DECIDE_EVERY_MILLIS,
                TimeUnit.MILLISECONDS);
        mControl.opened().thenRunAsync(this::open, mWorker);
    }

    private void tick() {
        mDetection.tick();
        mFleetRecorder.role(mControl.watcherRole());
    }

    // The caller port opens only once the configuration is known. Were it found in use only then,
    // the
    // node would have joined the fleet, and seem to have broken rather than be set up wrongly.
    private static void requireFree(String host, int callerPort) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.setReuseAddress(true);
            probe.bind(new InetSocketAddress(host, callerPort));
        } catch (IOException e) {
            throw new IOException("--caller-port " + callerPort + ": " + e.getMessage(), e);
        }
    }

    private Vm ownVm() {
        return new Vm(
                mSettings.vm(),
                mSettings.failureDomain(),
                mSettings.host(),
                mSettings.callerPort(),
                HttpServerFactory.portOf(mGuardServer),
                mSettings.peerPort(),
                mAdmin.port());
    }

    private void open() {
        if (mPhase != NodePhase.STARTING) {
            return;
        }
        try {
            mEntry.open();
            mCallerServer.start();
            mPhase = NodePhase.SERVING;
        } catch (Exception e) {
            mBroken.complete(new IllegalStateException("caller port does not open", e));
        }
    }

    // A broken invariant means that this process no longer knows what it does; it must stop rather
    // than act on it. Without this an exception would only end one scheduled task, silently.
    private Runnable guarded(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                mBroken.complete(e);
                throw e;
            }
        };
    }

    private void decided(
            VerdictRecorder recorder, String service, Verdicts before, Verdicts after) {
        recorder.record(service, before, after);
        mProbes.due(service, after.probesDue());
        ControlPlane<ConfigHistory> control = mControl;
        if (control != null) {
            mPublisher.decided(service, after, control::publishEvidence);
        }
    }

    private boolean mayAct() {
        ControlPlane<ConfigHistory> control = mControl;
        return control != null && control.mayAct();
    }

    private ConfigHistory currentHistory() {
        ControlPlane<ConfigHistory> control = mControl;
        return control == null ? ConfigHistory.EMPTY : control.currentHistory();
    }

    /** Hears what the fleet and the platform say; does the work on the node's own thread. */
    private final class FleetListener implements ControlListener<ConfigHistory> {
        @Override
        public void onHistory(ConfigHistory history) {
            mWorker.execute(guarded(() -> versionInForce(history)));
        }

        @Override
        public void onView(LiveView view) {
            mFleetRecorder.view(view);
            mWorker.execute(guarded(() -> mState.vmsChanged(view)));
        }

        @Override
        public void onLeaving(LeavingNotice notice) {
            if (notice.wholeVm()) {
                mEvents.record(new VmLeaving(notice.vm(), "peer"));
            }
        }

        @Override
        public void onEvidence(GossipItem evidence) {
            EvidenceCodec.decode(evidence.payload())
                    .ifPresent(digest -> mDetection.heard(evidence.node(), evidence.key(), digest));
        }

        @Override
        public Optional<HlcTimestamp> clock() {
            return Optional.of(mEvents.now());
        }

        @Override
        public void onClock(HlcTimestamp reading) {
            mEvents.observe(reading);
        }

        @Override
        public void onBroken(RuntimeException failure) {
            mBroken.complete(failure);
        }
    }

    private void versionInForce(ConfigHistory history) {
        if (history.version() <= mState.table().version()) {
            return;
        }
        mState.configurationChanged(history);
        mWindows.versionInForce(history.version());
        mEvents.record(
                new VersionInForce(
                        history.version(), history.digest().toString(), history.position()));
    }

    /** Returns what the node does for callers now. */
    public NodePhase phase() {
        return mPhase;
    }

    /** Returns the port at which callers are served; the one that was set until it is open. */
    public int callerPort() {
        int port = HttpServerFactory.portOf(mCallerServer);
        return port > 0 ? port : mSettings.callerPort();
    }

    /** Returns the port at which other nodes are served. */
    public int guardPort() {
        return HttpServerFactory.portOf(mGuardServer);
    }

    /** Returns the port of the control protocol between nodes. */
    public int peerPort() {
        return mControl.vm().peerPort();
    }

    /** Returns the version of the configuration that requests are routed by. */
    public long version() {
        return mState.table().version();
    }

    /** Returns the port of the administration API. */
    public int adminPort() {
        return mAdmin.port();
    }

    /** Returns whether a planned stop has come so far that its guard takes nothing new. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Returns the counters. */
    public MetricRegistry metrics() {
        return mRegistry;
    }

    /**
     * Returns a future that completes with the invariant that broke; the process must then stop.
     */
    public CompletableFuture<RuntimeException> broken() {
        return mBroken;
    }

    /**
     * Stops for good without cutting off a request: tells peers and callers, waits until peers have
     * heard, takes nothing new, and lets all in flight end; bounded by the drain setting.
     */
    public void drain() throws InterruptedException {
        if (mPhase == NodePhase.STOPPING) {
            return;
        }
        mPhase = NodePhase.STOPPING;
        stopPhase(StopPhase.ANNOUNCED);
        ControlPlane<ConfigHistory> control = mControl;
        if (control != null) {
            control.announceLeaving();
        }
        long startMillis = mTicker.millis();
        long untilMillis = startMillis + mSettings.drainMillis();
        awaitQuiet(Math.min(untilMillis, startMillis + ANNOUNCE_MILLIS), false);
        stopPhase(StopPhase.DRAINING);
        mGuard.leave();
        mDraining = true;
        boolean quiet = awaitQuiet(untilMillis, true);
        stopPhase(quiet ? StopPhase.DRAINED : StopPhase.TIMED_OUT);
        close();
    }

    private boolean awaitQuiet(long untilMillis, boolean endWhenQuiet) throws InterruptedException {
        while (mTicker.millis() < untilMillis) {
            if (endWhenQuiet && inFlight() == 0) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
        }
        return inFlight() == 0;
    }

    private int inFlight() {
        return mEntry.inFlight() + mGuard.inFlight();
    }

    private void stopPhase(StopPhase phase) {
        mEvents.record(new StopPhaseEntered(phase, inFlight()));
    }

    @Override
    public void close() {
        mPhase = NodePhase.STOPPING;
        ControlPlane<ConfigHistory> control = mControl;
        if (control != null) {
            NodeHttp.stop(control::close);
        }
        mWorker.shutdownNow();
        NodeHttp.stop(mCallerServer::stop);
        NodeHttp.stop(mGuardServer::stop);
        NodeHttp.stop(mPlatform::close);
        NodeHttp.stop(mAdmin::stop);
        mHttp.stop();
    }
}
