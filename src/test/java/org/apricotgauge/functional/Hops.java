package org.apricotgauge.functional;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.caller.EntryHandler;
import org.apricotgauge.caller.EntryOptions;
import org.apricotgauge.caller.MemberRateLimiter;
import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.attempt.AttemptIdGenerator;
import org.apricotgauge.decision.attempt.AttemptLedger;
import org.apricotgauge.decision.attempt.AttemptLimits;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.attempt.RetryAllowancePolicy;
import org.apricotgauge.decision.routing.LoadSharing;
import org.apricotgauge.decision.routing.RoutingTable;
import org.apricotgauge.decision.routing.RoutingTableFactory;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.http.client.UpstreamClientFactory;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;
import org.apricotgauge.peer.hop.GuardClient;
import org.apricotgauge.peer.hop.LocalGuard;
import org.apricotgauge.target.BrokenRun;
import org.apricotgauge.target.GuardHandler;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * The two hops of a request over real sockets, without control plane or detection: VMs with an
 * entry, a guard and a relay before the guard. Any path is repeatable by its method, {@code /once}
 * never.
 */
final class Hops implements AutoCloseable {
    /** VM whose entry reaches the targets of VM b over a hop. */
    static final String OVER_HOP = "a";

    /** VM whose entry hands attempts at its targets over in the process; see handOver. */
    static final String IN_PROCESS = "b";

    private static final String SERVICE = "s";
    private static final int TARGET_CONNECTIONS = 64;

    /** These nodes have no predecessors whose keys they could not know. */
    private static final KeyLimits KEYS =
            new KeyLimits(1_000, 1_000_000, 600_000, KeyLimits.NewOwnerPolicy.RUN);

    private static final long DEADLINE_MILLIS = 20_000;

    private final QueuedThreadPool mThreads = new QueuedThreadPool(64);
    private final ScheduledExecutorScheduler mScheduler =
            new ScheduledExecutorScheduler("hops", true);
    private final UpstreamClientFactory mClients =
            new UpstreamClientFactory(mThreads, mScheduler, 5_000);
    private final Map<String, HopVm> mVms = new HashMap<>();
    private final List<UpstreamClient> mToTargets = new ArrayList<>();
    private final List<UpstreamClient> mToGuards = new ArrayList<>();
    private final int mTargetConnections;
    private final EntryOptions.TargetAccess mTargetAccess;
    private final LoadSharing mLoadSharing;
    private volatile String mLeaving = "";
    private volatile boolean mLosesCalls;
    private volatile boolean mFailsArrivals;
    private volatile String mRunning = "";
    private volatile boolean mIsSiteCurrent = true;
    private Configuration mConfiguration =
            Configuration.EMPTY
                    .withService(new Service(SERVICE, 0, new DetectionOdds(1, 1), 100, 100, null))
                    .withRoute(route("any", "/", Repeatability.BY_METHOD))
                    .withRoute(route("once", "/once", Repeatability.NEVER));

    Hops(String... vms) throws Exception {
        this(TARGET_CONNECTIONS, vms);
    }

    /** Creates VMs whose guards open no more than so many connections to a target. */
    Hops(int targetConnections, String... vms) throws Exception {
        this(targetConnections, EntryOptions.TargetAccess.GUARD_OR_DIRECT, LoadSharing.NONE, vms);
    }

    private Hops(
            int targetConnections,
            EntryOptions.TargetAccess access,
            LoadSharing loadSharing,
            String... vms)
            throws Exception {
        mTargetConnections = targetConnections;
        mTargetAccess = access;
        mLoadSharing = loadSharing;
        mThreads.start();
        mScheduler.start();
        mClients.start();
        for (String vm : vms) {
            mVms.put(vm, new HopVm(vm));
        }
        for (String vm : vms) {
            start(vm, mVms.get(vm));
        }
    }

    /** Creates VMs whose entries reach targets through their guards only. */
    static Hops guardsOnly(String... vms) throws Exception {
        return new Hops(
                TARGET_CONNECTIONS, EntryOptions.TargetAccess.GUARDS_ONLY, LoadSharing.NONE, vms);
    }

    /** Creates VMs that share load; targets are reached through their guards only. */
    static Hops sharing(LoadSharing loadSharing, String... vms) throws Exception {
        return new Hops(
                TARGET_CONNECTIONS, EntryOptions.TargetAccess.GUARDS_ONLY, loadSharing, vms);
    }

    /** Creates VMs whose guards allow one retry for each request in a second, by rank. */
    static Hops rankedRetries(String... vms) throws Exception {
        return new Hops(
                TARGET_CONNECTIONS,
                EntryOptions.TargetAccess.GUARDS_ONLY,
                new LoadSharing(false, true, false),
                vms);
    }

    private static Route route(String id, String prefix, Repeatability repeatability) {
        return new Route(id, "*", prefix, SERVICE, Priority.NORMAL, repeatability, DEADLINE_MILLIS);
    }

    HopVm vm(String id) {
        return mVms.get(id);
    }

    Hops target(String id, String vm, int port, int slots) {
        mConfiguration =
                mConfiguration.withTarget(
                        new Target(id, SERVICE, vm, "here", "127.0.0.1", port, slots));
        return this;
    }

    /** From now on each request at a target loses a call that the target makes for it. */
    Hops loseCalls() {
        mLosesCalls = true;
        return this;
    }

    /** Lets each guard throw when an attempt arrives. */
    Hops failArrivals() {
        mFailsArrivals = true;
        return this;
    }

    /** Lets every VM say that a request, by its id, is running at a target of its own. */
    Hops running(String requestId) {
        mRunning = requestId;
        return this;
    }

    /** Sets whether what the guards know of the site is young enough. */
    void setSiteCurrent(boolean current) {
        mIsSiteCurrent = current;
    }

    /** Lets a target begin to leave. */
    Hops leave(String id) {
        mLeaving = id;
        return this;
    }

    /** Adds a member, or replaces the one of its name. */
    Hops member(Member member) {
        mConfiguration = mConfiguration.withMember(member);
        return this;
    }

    /** Lets the site require keys, whether or not some member has one. */
    Hops requireKeys() {
        mConfiguration = mConfiguration.withKeysRequired(true);
        return this;
    }

    /** Adds a route below a prefix that needs no key. */
    Hops openRoute(String prefix) {
        return route("open", prefix, null, true);
    }

    /** Adds a route below a prefix whose answers are of full use for so long. */
    Hops usefulRoute(String prefix, long usefulMillis) {
        return route("useful", prefix, usefulMillis, null);
    }

    private Hops route(String id, String prefix, Long usefulMillis, Boolean openAccess) {
        mConfiguration =
                mConfiguration.withRoute(
                        new Route(
                                id,
                                "*",
                                prefix,
                                SERVICE,
                                Priority.NORMAL,
                                Repeatability.BY_METHOD,
                                DEADLINE_MILLIS,
                                null,
                                null,
                                usefulMillis,
                                openAccess));
        return this;
    }

    /** Lets the entry of a VM ask these limits. */
    Hops limits(String vm, MemberRateLimiter limits) {
        mVms.get(vm).mLimits = limits;
        return this;
    }

    /** Gives the fleet a share of the service; the older system at the port has the rest. */
    Hops share(int percent, int olderPort) {
        mConfiguration =
                mConfiguration.withService(
                        mConfiguration
                                .service(SERVICE)
                                .withPredecessor(new Address("127.0.0.1", olderPort))
                                .withFleetSharePercent(percent));
        return this;
    }

    /** Builds the table anew for each reading; tests change the site between requests only. */
    private RoutingTable table(String entryVm) {
        HopVm vm = mVms.get(entryVm);
        RoutingTableFactory.TargetStateSource view =
                new RoutingTableFactory.TargetStateSource(
                        this::guardOf,
                        target -> isLeaving(target) || vm.mToldLeaving.contains(target.id()),
                        target -> 1.0);
        RoutingTableFactory factory = vm.mTables;
        synchronized (factory) {
            return factory.create(RoutingTable.EMPTY, 1, mConfiguration, view, 0);
        }
    }

    private boolean isLeaving(Target target) {
        return target.id().equals(mLeaving);
    }

    private Address guardOf(Target target) {
        HopVm vm = mVms.get(target.vm());
        return vm == null ? null : vm.guardAddress();
    }

    /** Lets the node of a VM hear that all slots of a target are in use. */
    Hops reportFull(String vm, String target) {
        table(vm)
                .service(SERVICE)
                .flatMap(service -> service.candidate(target))
                .orElseThrow()
                .load()
                .reportLoad(1_000, System.nanoTime());
        return this;
    }

    /** Waits until so many connections to guards are open and unused. */
    void awaitIdleToGuards(int count) {
        LocalFleet.await(() -> idleToGuards() >= count);
    }

    /** Returns how many requests wait for a connection to a target. */
    int waitingForTargets() {
        return mToTargets.stream().mapToInt(UpstreamClient::waitingRequests).sum();
    }

    /** Returns how many connections to guards are open and unused. */
    int idleToGuards() {
        return mToGuards.stream().mapToInt(UpstreamClient::idleConnections).sum();
    }

    private void start(String id, HopVm vm) throws Exception {
        UpstreamClient targets = clientOfTargets();
        vm.mGuards =
                new GuardClient(clientOfGuards(), newClient(64), vm.mPeerStops, Ticker.system());
        vm.mEntry =
                new EntryHandler(
                        () -> table(id),
                        vm.mStop,
                        () -> true,
                        vm.mGuards,
                        targets,
                        new AttemptIdGenerator(id, id.hashCode()),
                        mScheduler,
                        Ticker.system(),
                        new Blind(vm),
                        service -> Optional.empty(),
                        vm.mQuarantine,
                        (member, request) -> vm.mLimits.acquire(member, request),
                        targetId -> vm.mGuard.localSlots().find(targetId),
                        NestedCallDialect.options(KEYS, mTargetAccess, mLoadSharing),
                        vm.mRegistry);
        startGuard(id, vm, targets);
        HttpServerFactory servers = new HttpServerFactory(mThreads, mScheduler);
        vm.mEntryServer = servers.create("127.0.0.1", 0, vm.mEntry, vm.mEntry::countBadRequest);
        vm.mEntry.startBackgroundTasks();
        vm.mEntryServer.start();
        vm.mRelay = new Relay(() -> HttpServerFactory.portOf(vm.mGuardServer));
    }

    private void startGuard(String id, HopVm vm, UpstreamClient targets) throws Exception {
        vm.mGuard =
                new GuardHandler(
                        id,
                        () -> table(id),
                        targets,
                        new AttemptLedger(id.hashCode(), AttemptLimits.DEFAULT),
                        mScheduler,
                        Ticker.system(),
                        new Blind(vm),
                        vm.mEntry::handleKeyed,
                        new NestedCallDialect(),
                        mLoadSharing.rankedRetries()
                                ? AdmissionConfig.SlotUse.EXCLUSIVE
                                : AdmissionConfig.SlotUse.SHARED,
                        mLoadSharing.rankedRetries()
                                ? RetryAllowancePolicy.ofFleetByRank(0, 1)
                                : RetryAllowancePolicy.UNBOUNDED,
                        vm.mQuarantine,
                        request -> CompletableFuture.completedFuture(new byte[0]),
                        vm.mStop,
                        vm.mRegistry);
        vm.mGuardServer =
                new HttpServerFactory(mThreads, mScheduler)
                        .create("127.0.0.1", 0, vm.mGuard, () -> {});
        vm.mGuardServer.start();
    }

    /** Lets each entry hand its attempts at targets of its own VM over in the process. */
    Hops handOver() {
        for (HopVm vm : mVms.values()) {
            vm.mGuards.useLocalGuard(
                    new LocalGuard(vm.guardAddress(), vm.mGuard.guard(), mThreads, vm.mRegistry));
        }
        return this;
    }

    /** Ends the guard of a VM, its connections with it, and starts one that knows nothing. */
    void restartGuard(String id) throws Exception {
        HopVm vm = mVms.get(id);
        vm.mGuardServer.stop();
        startGuard(id, vm, clientOfTargets());
    }

    private UpstreamClient newClient(int connections) {
        return mClients.create(new UpstreamClientFactory.Limits(60_000, connections, 256));
    }

    private UpstreamClient clientOfTargets() {
        UpstreamClient client = newClient(mTargetConnections);
        mToTargets.add(client);
        return client;
    }

    private UpstreamClient clientOfGuards() {
        UpstreamClient client = newClient(64);
        mToGuards.add(client);
        return client;
    }

    @Override
    public void close() {
        try {
            stopAll();
        } catch (Exception e) {
            throw new IllegalStateException("hops do not stop", e);
        }
    }

    private void stopAll() throws Exception {
        for (HopVm vm : mVms.values()) {
            vm.mRelay.close();
            vm.mEntryServer.stop();
            vm.mGuardServer.stop();
        }
        mClients.stop();
        mScheduler.stop();
        mThreads.stop();
    }

    /** Looks at nothing but what the test says. */
    private final class Blind extends BlindObserver {
        private final HopVm mVm;

        private Blind(HopVm vm) {
            mVm = vm;
        }

        @Override
        public void onAttemptArrived(Target target, String entryHost, HttpFields headers) {
            if (mFailsArrivals) {
                throw new IllegalStateException("guard fails on purpose");
            }
        }

        @Override
        public void onTargetLeaving(Target target) {
            mVm.mToldLeaving.add(target.id());
        }

        @Override
        public int nodeCount() {
            return mVms.size();
        }

        @Override
        public boolean isSiteViewFresh() {
            return mIsSiteCurrent;
        }

        @Override
        public void onTargetEnded(Target target, List<BrokenRun> runs) {
            mVm.mQuarantine.recordCrash(
                    runs.stream().map(BrokenRun::fingerprint).toList(), System.nanoTime());
        }

        @Override
        public boolean isRunning(String requestId) {
            return requestId.equals(mRunning);
        }

        @Override
        public boolean hasFailedCall(String requestId) {
            return mLosesCalls;
        }
    }
}
