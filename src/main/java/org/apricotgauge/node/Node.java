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
import org.apricotgauge.cli.ProductVersion;
import org.apricotgauge.decision.attempt.AttemptIdGenerator;
import org.apricotgauge.decision.attempt.AttemptLedger;
import org.apricotgauge.decision.attempt.AttemptLimits;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.detection.EjectionVerdicts;
import org.apricotgauge.decision.routing.RoutingTable;
import org.apricotgauge.event.NodeStarted;
import org.apricotgauge.event.StopPhase;
import org.apricotgauge.event.StopPhaseEntered;
import org.apricotgauge.event.VersionInForce;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Vm;
import org.apricotgauge.operator.AdminServer;
import org.apricotgauge.operator.AdminSources;
import org.apricotgauge.operator.NodePhase;
import org.apricotgauge.operator.OutcomeWindows;
import org.apricotgauge.peer.hop.GuardClient;
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
    private static final long DECIDE_EVERY_MILLIS = 100;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final int WINDOWS = 64;

    /** Peers hear of a stop within this time; until then they still send, and are served. */
    static final long ANNOUNCE_MILLIS = 1_500;

    private final NodeProfile mProfile;
    private final NodeControl.Factory mControlFactory;
    private final Ticker mTicker = Ticker.system();
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final long mStartedMillis = System.currentTimeMillis();
    private final NodeEvents mEvents;
    private final OutcomeWindows mWindows = new OutcomeWindows(mTicker, WINDOWS);
    private final NodeHttp mHttp;
    private final ScheduledExecutorService mWorker =
            Executors.newSingleThreadScheduledExecutor(Node::workerThread);
    private final RoutingState mState;
    private final DetectionService mDetection;
    private final ProbeTokens mProbes;
    private final QuarantineService mQuarantine;
    private final AllotmentService mAllotments;
    private final EvidencePublisher mPublisher;
    private final EntryHandler mEntry;
    private final GuardHandler mGuard;
    private final Server mCallerServer;
    private final Server mGuardServer;
    private final AdminServer mAdmin;
    private final CompletableFuture<RuntimeException> mBroken = new CompletableFuture<>();
    private volatile NodeControl mControl = new UnstartedControl();
    private volatile Optional<HealthNews> mNews = Optional.empty();
    private volatile DatagramPort mNodePort;
    private volatile NodePhase mPhase = NodePhase.STARTING;
    private volatile boolean mDraining;

    private Node(NodeProfile profile, NodeControl.Factory controlFactory) {
        mProfile = profile;
        mControlFactory = controlFactory;
        Vm vm = profile.vm();
        mEvents = new NodeEvents(vm.id(), mStartedMillis);
        mRegistry.gauge("clock.readings.refused", () -> mEvents::refusedReadings);
        mHttp = new NodeHttp(vm.id());
        mState = new RoutingState(vm.id(), vm.failureDomain(), mTicker);
        mProbes = new ProbeTokens(mTicker, mState::nodes);
        mQuarantine = new QuarantineService(vm.failureDomain(), mTicker, mEvents, mRegistry);
        mAllotments =
                new AllotmentService(mState, mTicker, mHttp, profile.limitTolerance(), mRegistry);
        VerdictRecorder recorder = new VerdictRecorder(mEvents, mWindows);
        mDetection =
                new DetectionService(
                        mState,
                        mTicker,
                        mStartedMillis,
                        (service, before, after) -> decided(recorder, service, before, after),
                        mWorker);
        mPublisher = new EvidencePublisher(vm.id(), mState, mDetection, mTicker);
        NodeObserver observer =
                new NodeObserver(
                        mState,
                        mDetection,
                        mWindows,
                        mEvents,
                        mTicker,
                        () -> mControl,
                        () -> mNews,
                        mQuarantine,
                        profile.evidenceBytesPerSecond());
        long incarnation = new SecureRandom().nextLong();
        KeyLimits.DEFAULT.requireCovers(AttemptLimits.DEFAULT);
        mEntry = entry(observer, incarnation);
        mGuard = guard(observer, incarnation);
        HttpServerFactory servers = mHttp.servers();
        mCallerServer = servers.create(vm.host(), vm.callerPort(), mEntry, mEntry::countBadRequest);
        mCallerServer.addBean(
                new NetworkConnectionLimit(profile.maxCallerConnections(), mCallerServer));
        mGuardServer = servers.create(vm.host(), vm.guardPort(), mGuard, () -> {});
        NodeStatusSource status =
                new NodeStatusSource(vm, mStartedMillis, mState, mDetection, mWindows);
        mAdmin =
                new AdminServer(
                        new AdminSources(
                                () -> NodeStatusSource.readiness(mPhase),
                                () -> status.read(mPhase, mControl.mark()),
                                mEvents::read,
                                mQuarantine,
                                mAllotments,
                                mRegistry),
                        vm.host(),
                        vm.adminPort(),
                        profile.readyPaths(),
                        mTicker);
    }

    private EntryHandler entry(NodeObserver observer, long incarnation) {
        return new EntryHandler(
                mState::table,
                () -> mPhase == NodePhase.STOPPING,
                this::mayAct,
                new GuardClient(mHttp.forwarding(), mHttp.fencing(), mTicker),
                mHttp.targets(),
                new AttemptIdGenerator(mProfile.vm().id(), incarnation),
                mHttp.scheduler(),
                mTicker,
                observer,
                mProbes::take,
                mQuarantine.table(),
                mAllotments,
                mProfile.entry(),
                mRegistry);
    }

    private GuardHandler guard(NodeObserver observer, long incarnation) {
        return new GuardHandler(
                mProfile.vm().id(),
                mState::table,
                mHttp.targets(),
                new AttemptLedger(incarnation, AttemptLimits.DEFAULT),
                mHttp.scheduler(),
                mTicker,
                observer,
                mEntry::handleKeyed,
                mProfile.entry().dialect(),
                mProfile.entry().slotUse(),
                mProfile.entry().guardRetryAllowance(),
                mQuarantine.table(),
                (revision, waitMillis, compressed) ->
                        mControl.published(revision, waitMillis, compressed),
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
        return start(
                settings.profile(),
                GossipControl.factory(settings.platform(), settings.seedPeers()));
    }

    static Node start(NodeProfile profile, NodeControl.Factory control) throws IOException {
        Node node = new Node(profile, control);
        try {
            node.startParts();
        } catch (Exception e) {
            node.close();
            throw new IOException(
                    "node of " + profile.vm().id() + " does not start: " + e.getMessage(), e);
        }
        return node;
    }

    private void startParts() throws Exception {
        requireFree(mProfile.vm().host(), mProfile.vm().callerPort());
        mEvents.record(new NodeStarted(mProfile.vm().failureDomain(), ProductVersion.text()));
        mHttp.start();
        mAdmin.start();
        mGuardServer.start();
        if (mProfile.news() != null) {
            mNews =
                    Optional.of(
                            HealthNews.start(
                                    mProfile.news(),
                                    mState,
                                    mTicker,
                                    mProfile.vm().failureDomain()));
        }
        mControl =
                mControlFactory.start(
                        new NodeControl.Parts(
                                ownVm(),
                                mProfile.crashNews() == null ? 0 : mProfile.crashNews().port(),
                                new ControlEvents(),
                                mEvents,
                                mRegistry,
                                mWorker,
                                mTicker,
                                mHttp.fencing()));
        startDatagrams();
        if (mProfile.opensEarly()) {
            openCallerPort();
        }
        mWorker.scheduleWithFixedDelay(
                guarded(this::tick),
                DECIDE_EVERY_MILLIS,
                DECIDE_EVERY_MILLIS,
                TimeUnit.MILLISECONDS);
        mControl.opened().thenRunAsync(this::open, mWorker);
    }

    private void startDatagrams() throws IOException {
        Address own = crashNewsAddress();
        DatagramPort port = DatagramPort.open(own, "node news", mTicker);
        mNodePort = port;
        mQuarantine.start(own, new CrashNews(port));
        mAllotments.start(own, port);
        port.listen(this::heard);
    }

    private void heard(Address from, byte[] bytes, int length) throws IOException {
        if (AllotmentCodec.isMessage(bytes, length)) {
            mAllotments.received(from, AllotmentCodec.decode(bytes, length));
        } else {
            mQuarantine.received(from, CrashNews.decode(bytes, length));
        }
    }

    private Address crashNewsAddress() {
        return mProfile.crashNews() != null
                ? mProfile.crashNews()
                : new Address(mProfile.vm().host(), mControl.peerPort());
    }

    private void tick() {
        mQuarantine.tick();
        mDetection.tick();
        mControl.tick();
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
        Vm vm = mProfile.vm();
        return new Vm(
                vm.id(),
                vm.failureDomain(),
                vm.host(),
                vm.callerPort(),
                HttpServerFactory.portOf(mGuardServer),
                vm.peerPort(),
                mAdmin.port());
    }

    private void openCallerPort() throws Exception {
        mEntry.startBackgroundTasks();
        mCallerServer.start();
    }

    private void open() {
        if (mPhase != NodePhase.STARTING) {
            return;
        }
        try {
            if (!mProfile.opensEarly()) {
                openCallerPort();
            }
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
            VerdictRecorder recorder,
            String service,
            EjectionVerdicts before,
            EjectionVerdicts after) {
        recorder.record(service, before, after);
        mProbes.due(service, after.probesDue());
        mPublisher.decided(service, after, mControl::publishEvidence);
    }

    private boolean mayAct() {
        // Control knows the configuration a moment before the table has it; without this, requests
        // of that moment would be told 404.
        return mControl.mayAct() && mState.table() != RoutingTable.EMPTY;
    }

    /** Hears what is in force; does the work on the node's own thread. */
    private final class ControlEvents implements NodeControl.Listener {
        @Override
        public void onConfiguration(
                long version, Configuration configuration, NodeControl.Mark mark) {
            mWorker.execute(guarded(() -> inForce(version, configuration, mark)));
        }

        @Override
        public void onMembers(SiteMembers members) {
            mWorker.execute(guarded(() -> mState.membersChanged(members)));
            mQuarantine.membersChanged(members);
            mAllotments.membersChanged(members);
        }

        @Override
        public void onEvidence(String vm, String service, byte[] payload) {
            EvidenceCodec.decode(payload)
                    .ifPresent(digest -> mDetection.heard(vm, service, digest));
        }

        @Override
        public void onBroken(RuntimeException failure) {
            mBroken.complete(failure);
        }
    }

    // Targets that register themselves change the configuration within a version.
    private void inForce(long version, Configuration configuration, NodeControl.Mark mark) {
        long before = mState.table().version();
        if (version < before || configuration == mState.table().configuration()) {
            return;
        }
        mState.configurationChanged(version, configuration);
        if (version > before) {
            mWindows.versionInForce(version);
            mEvents.record(new VersionInForce(version, mark.historyDigest(), mark.position()));
        }
    }

    /** Returns what the node does for callers now. */
    public NodePhase phase() {
        return mPhase;
    }

    /** Returns the port at which callers are served; the one that was set until it is open. */
    public int callerPort() {
        int port = HttpServerFactory.portOf(mCallerServer);
        return port > 0 ? port : mProfile.vm().callerPort();
    }

    /** Returns the port at which other nodes are served. */
    public int guardPort() {
        return HttpServerFactory.portOf(mGuardServer);
    }

    /** Returns the port of the control protocol between nodes. */
    public int peerPort() {
        return mControl.peerPort();
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
        mControl.announceLeaving();
        long startMillis = mTicker.millis();
        long untilMillis = startMillis + mProfile.drainMillis();
        awaitQuiet(Math.min(untilMillis, startMillis + mProfile.serveOnMillis()), false);
        stopPhase(StopPhase.DRAINING);
        mEntry.drain();
        mGuard.drain();
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

    private void closeNodePort() {
        DatagramPort port = mNodePort;
        if (port != null) {
            port.close();
        }
    }

    @Override
    public void close() {
        mPhase = NodePhase.STOPPING;
        NodeHttp.stop(mControl::close);
        mNews.ifPresent(HealthNews::close);
        closeNodePort();
        mWorker.shutdownNow();
        NodeHttp.stop(mCallerServer::stop);
        NodeHttp.stop(mGuardServer::stop);
        NodeHttp.stop(mAdmin::stop);
        mHttp.stop();
    }
}
