package org.apricotgauge.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
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
import org.apricotgauge.peer.hop.LocalGuard;
import org.apricotgauge.stop.StopReserve;
import org.apricotgauge.stop.StopSchedule;
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
    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final int WINDOW_COUNT = 64;

    /** Peers learn of a stop within this time, and are served until then. */
    static final long ANNOUNCE_MILLIS = 1_500;

    /** Callers are told the outcome of unanswered requests this long before the end. */
    private static final long LAST_ANSWERS_MILLIS = 60;

    private final NodeProfile mProfile;
    private final NodeControl.Factory mControlFactory;
    private final Ticker mTicker = Ticker.system();
    private final StopSchedule mStop = new StopSchedule(mTicker);
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final long mStartedMillis = System.currentTimeMillis();
    private final NodeEvents mEvents;
    private final OutcomeWindows mOutcomeWindows = new OutcomeWindows(mTicker, WINDOW_COUNT);
    private final NodeHttp mHttp;
    private final ScheduledExecutorService mWorker = NodeHttp.newWorker();
    private final RoutingState mState;
    private final DetectionService mDetection;
    private final ProbeTokens mProbes;
    private final QuarantineService mQuarantine;
    private final RateLimitService mRateLimits;
    private final EvidencePublisher mPublisher;
    private final StopNotices mStopNotices;
    private final NodeDatagrams mDatagrams;
    private final GuardClient mGuardClient;
    private final EntryHandler mEntry;
    private final GuardHandler mGuard;
    private final Server mCallerServer;
    private final Server mGuardServer;
    private final AdminServer mAdmin;
    private final CompletableFuture<RuntimeException> mBrokenInvariant = new CompletableFuture<>();
    private volatile NodeControl mControl = new UnstartedControl();
    private volatile Optional<HealthReportService> mHealthReports = Optional.empty();
    private final AtomicReference<NodePhase> mPhase = new AtomicReference<>(NodePhase.STARTING);
    private volatile boolean mDraining;

    private Node(NodeProfile profile, NodeControl.Factory controlFactory) {
        mProfile = profile;
        mControlFactory = controlFactory;
        Vm vm = profile.vm();
        mEvents = new NodeEvents(vm.id(), mStartedMillis);
        mRegistry.gauge("clock.readings.refused", () -> mEvents::refusedReadings);
        mHttp = new NodeHttp(vm.id());
        mState = new RoutingState(vm.id(), vm.failureDomain(), mTicker);
        mProbes = new ProbeTokens(mTicker, mState::nodeCount);
        mQuarantine = new QuarantineService(vm.failureDomain(), mTicker, mEvents, mRegistry);
        mRateLimits =
                new RateLimitService(mState, mTicker, mHttp, profile.limitTolerance(), mRegistry);
        VerdictRecorder recorder = new VerdictRecorder(mEvents, mOutcomeWindows);
        mDetection =
                new DetectionService(
                        mState,
                        mTicker,
                        mStartedMillis,
                        (service, before, after) -> onVerdicts(recorder, service, before, after),
                        mWorker);
        mPublisher = new EvidencePublisher(vm.id(), mState, mDetection, mTicker);
        NodeObserver observer =
                new NodeObserver(
                        mState,
                        mDetection,
                        mOutcomeWindows,
                        mEvents,
                        mTicker,
                        () -> mControl,
                        () -> mHealthReports,
                        mQuarantine,
                        profile.evidenceBytesPerSecond());
        long incarnation = new SecureRandom().nextLong();
        KeyLimits.DEFAULT.requireCovers(AttemptLimits.DEFAULT);
        mStopNotices = newStopNotices(incarnation);
        mDatagrams = new NodeDatagrams(mQuarantine, mRateLimits, mStopNotices);
        mGuardClient = mHttp.newGuardClient(mStopNotices.peerStops(), mTicker);
        mEntry = newEntry(observer, incarnation);
        mGuard = newGuard(observer, incarnation);
        HttpServerFactory servers = mHttp.servers();
        mCallerServer = servers.create(vm.host(), vm.callerPort(), mEntry, mEntry::countBadRequest);
        mCallerServer.addBean(
                new NetworkConnectionLimit(profile.maxCallerConnections(), mCallerServer));
        mGuardServer = servers.create(vm.host(), vm.guardPort(), mGuard, () -> {});
        NodeStatusSource status =
                new NodeStatusSource(vm, mStartedMillis, mState, mDetection, mOutcomeWindows);
        mAdmin =
                new AdminServer(
                        new AdminSources(
                                () -> NodeStatusSource.readiness(mPhase.get()),
                                () -> status.read(mPhase.get(), mControl.mark()),
                                mEvents::read,
                                mQuarantine,
                                mRateLimits,
                                mRegistry),
                        vm.host(),
                        vm.adminPort(),
                        profile.readyPaths(),
                        mTicker);
    }

    private StopNotices newStopNotices(long incarnation) {
        return new StopNotices(
                mStop,
                incarnation,
                () -> mHealthReports.map(HealthReportService::recentHosts).orElse(List.of()),
                new Random(incarnation),
                mTicker,
                mRegistry);
    }

    private EntryHandler newEntry(NodeObserver observer, long incarnation) {
        return new EntryHandler(
                mState::table,
                mStop,
                this::mayAct,
                mGuardClient,
                mHttp.targetClient(),
                new AttemptIdGenerator(mProfile.vm().id(), incarnation),
                mHttp.scheduler(),
                mTicker,
                observer,
                mProbes::tryAcquire,
                mQuarantine.table(),
                mRateLimits,
                targetId -> mGuard.localSlots().find(targetId),
                mProfile.entry(),
                mRegistry);
    }

    private GuardHandler newGuard(NodeObserver observer, long incarnation) {
        return new GuardHandler(
                mProfile.vm().id(),
                mState::table,
                mHttp.targetClient(),
                new AttemptLedger(incarnation, AttemptLimits.DEFAULT),
                mHttp.scheduler(),
                mTicker,
                observer,
                mEntry::handleKeyed,
                mProfile.entry().dialect(),
                mProfile.entry().slotUse(),
                mProfile.entry().guardRetryAllowance(),
                mQuarantine.table(),
                request -> mControl.changesFor(request),
                mStop,
                mRegistry);
    }

    /**
     * Starts a node; it accepts callers once it has the configuration in force.
     *
     * @throws IOException if it cannot listen at one of its ports
     */
    public static Node start(NodeSettings settings) throws IOException {
        return start(
                settings.profile(),
                GossipControl.factory(settings.platform(), settings.seedPeers()),
                node -> {});
    }

    /**
     * Starts a node.
     *
     * @param onCreated receives the node before it opens a port, to stop it during its start
     */
    static Node start(NodeProfile profile, NodeControl.Factory control, Consumer<Node> onCreated)
            throws IOException {
        Node node = new Node(profile, control);
        try {
            onCreated.accept(node);
            node.startParts();
        } catch (Exception e) {
            node.mStop.begin(0);
            node.close();
            throw new IOException(
                    "node of " + profile.vm().id() + " does not start: " + e.getMessage(), e);
        }
        return node;
    }

    private synchronized void startParts() throws Exception {
        NodeHttp.requireFreePort(mProfile.vm().host(), mProfile.vm().callerPort());
        mEvents.record(new NodeStarted(mProfile.vm().failureDomain(), ProductVersion.text()));
        mHttp.start();
        mAdmin.start();
        if (mStop.hasBegun()) {
            return;
        }
        mGuardServer.start();
        if (mProfile.entry().loadSharing().localFirst()) {
            Address address = new Address(mProfile.vm().host(), guardPort());
            mGuardClient.useLocalGuard(
                    new LocalGuard(address, mGuard.guard(), mHttp.executor(), mRegistry));
        }
        if (mProfile.healthReportAddress() != null) {
            mHealthReports = Optional.of(HealthReportService.start(mProfile, mState, mTicker));
        }
        mControl =
                mControlFactory.start(
                        new NodeControl.Dependencies(
                                mProfile.vmWithPorts(guardPort(), mAdmin.port()),
                                mProfile.crashMessageAddress() == null
                                        ? 0
                                        : mProfile.crashMessageAddress().port(),
                                new ControlEvents(),
                                mEvents,
                                mRegistry,
                                mWorker,
                                mTicker,
                                mStop,
                                mHttp.fencingClient()));
        mDatagrams.open(datagramAddress(), guardPort(), mTicker);
        mStop.begun().thenRunAsync(failFast(mStopNotices::tick), mWorker);
        if (mProfile.listensEarly() && !mStop.hasBegun()) {
            openCallerPort();
        }
        mWorker.scheduleWithFixedDelay(
                failFast(this::tick),
                TICK_INTERVAL_MILLIS,
                TICK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        mControl.ready().thenRunAsync(this::startServing, mWorker);
    }

    private Address datagramAddress() {
        return mProfile.crashMessageAddress() != null
                ? mProfile.crashMessageAddress()
                : new Address(mProfile.vm().host(), mControl.peerPort());
    }

    private void tick() {
        mQuarantine.tick();
        mDetection.tick();
        mControl.tick();
        mStopNotices.tick();
    }

    private void openCallerPort() throws Exception {
        mEntry.startBackgroundTasks();
        mCallerServer.start();
    }

    private void startServing() {
        if (mStop.hasBegun()) {
            return;
        }
        try {
            if (!mProfile.listensEarly()) {
                openCallerPort();
            }
            mPhase.compareAndSet(NodePhase.STARTING, NodePhase.SERVING);
        } catch (Exception e) {
            mBrokenInvariant.complete(new IllegalStateException("caller port cannot be opened", e));
        }
    }

    // After a broken invariant the state can't be relied on, and the process must stop. Otherwise
    // an exception would only cancel one scheduled task, silently.
    private Runnable failFast(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                mBrokenInvariant.complete(e);
                throw e;
            }
        };
    }

    private void onVerdicts(
            VerdictRecorder recorder,
            String service,
            EjectionVerdicts before,
            EjectionVerdicts after) {
        recorder.record(service, before, after);
        mProbes.offer(service, after.probesDue());
        mPublisher.onVerdicts(service, after, mControl::publishEvidence);
    }

    private boolean mayAct() {
        // Between the control's configuration and the table's, requests would be answered with 404.
        return mControl.mayAct() && mState.table() != RoutingTable.EMPTY;
    }

    /** Applies updates of the control; those of the routing table on the node's own thread. */
    private final class ControlEvents implements NodeControl.Listener {
        @Override
        public void onConfiguration(
                long version, Configuration configuration, NodeControl.Mark mark) {
            mWorker.execute(failFast(() -> applyConfiguration(version, configuration, mark)));
        }

        @Override
        public void onMembers(SiteMembers members) {
            mWorker.execute(failFast(() -> mState.membersChanged(members)));
            mDatagrams.membersChanged(members);
        }

        @Override
        public void onEvidence(String vm, String service, byte[] payload) {
            EvidenceCodec.decode(payload)
                    .ifPresent(digest -> mDetection.mergeRemoteEvidence(vm, service, digest));
        }

        @Override
        public void onFatalError(RuntimeException failure) {
            mBrokenInvariant.complete(failure);
        }
    }

    // Targets that register themselves change the configuration without a new version.
    private void applyConfiguration(
            long version, Configuration configuration, NodeControl.Mark mark) {
        long before = mState.table().version();
        if (version < before || configuration == mState.table().configuration()) {
            return;
        }
        mState.configurationChanged(version, configuration);
        if (version > before) {
            mOutcomeWindows.versionInForce(version);
            mEvents.record(new VersionInForce(version, mark.historyDigest(), mark.position()));
        }
    }

    /** Returns the phase of the node. */
    public NodePhase phase() {
        return mPhase.get();
    }

    /** Returns the port for callers; the configured one until it is open. */
    public int callerPort() {
        int port = HttpServerFactory.portOf(mCallerServer);
        return port > 0 ? port : mProfile.vm().callerPort();
    }

    /** Returns the port for other nodes. */
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

    /** Returns whether a planned stop has reached the point where the guard accepts no new work. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Returns the counters. */
    public MetricRegistry metrics() {
        return mRegistry;
    }

    /** Returns a future that completes once an invariant is broken; the process must then stop. */
    public CompletableFuture<RuntimeException> brokenInvariant() {
        return mBrokenInvariant;
    }

    /**
     * Stops the node without interrupting requests: announces the stop to peers and callers, waits
     * until peers know, refuses new requests and waits for those in flight; bounded by the drain
     * setting.
     */
    public void drain() throws InterruptedException {
        if (mStop.begin(mProfile.drainMillis())) {
            awaitDrained();
            close();
        }
    }

    /** Drains and closes the ports; what else does not close in time ends with the process. */
    void drainForExit() throws InterruptedException {
        if (mPhase.get() != NodePhase.STOPPING && mStop.begin(mProfile.drainMillis())) {
            awaitDrained();
            ProcessReport.logEnd(newClose().closePorts());
            NodeClose.closeOthers(otherParts());
        }
    }

    private void awaitDrained() throws InterruptedException {
        mPhase.set(NodePhase.STOPPING);
        ProcessReport.logBegin(
                mStop.remainingMillis(), mProfile.killMillis(), mStopNotices.peerCount());
        recordStopPhase(StopPhase.ANNOUNCED);
        mStop.keepReserve(StopReserve.of(mEntry::lagMillis, mProfile.drainMillis()));
        IdleWait wait = new IdleWait(mStop, this::inFlight);
        wait.awaitElapsed(mProfile.announceMillis());
        recordStopPhase(StopPhase.DRAINING);
        mEntry.drain();
        mGuard.drain();
        mDraining = true;
        if (!wait.awaitIdle(LAST_ANSWERS_MILLIS)) {
            mEntry.endAll();
        }
        recordStopPhase(wait.awaitIdle(0) ? StopPhase.DRAINED : StopPhase.TIMED_OUT);
        mEntry.endAll();
        if (mGuardServer.isRunning()) {
            new PortLinger(mStop, mCallerServer, mGuardServer).await();
        }
        StopReport.log(mRegistry, mStop.elapsedMillis(), inFlight());
    }

    private int inFlight() {
        return mEntry.inFlight() + mGuard.inFlight();
    }

    private void recordStopPhase(StopPhase phase) {
        mEvents.record(new StopPhaseEntered(phase, inFlight(), mStop.remainingMillis()));
    }

    @Override
    public synchronized void close() {
        mPhase.set(NodePhase.STOPPING);
        mEntry.endAll();
        // What the ports still answer needs the state of the other parts.
        NodeHttp.stop(newClose()::closePorts);
        otherParts().forEach(NodeHttp::stop);
        mHttp.stopThreads();
    }

    private List<NodeHttp.Stoppable> otherParts() {
        return List.of(
                mCallerServer::stop,
                mGuardServer::stop,
                mControl::close,
                () -> mHealthReports.ifPresent(HealthReportService::close),
                mDatagrams::close,
                mWorker::shutdownNow,
                mAdmin::stop,
                mHttp::stopClients);
    }

    private NodeClose newClose() {
        return new NodeClose(
                mStop, mCallerServer, mGuardServer, mEntry::inFlight, mGuard::inFlight);
    }
}
