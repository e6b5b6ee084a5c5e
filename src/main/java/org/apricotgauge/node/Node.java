package org.apricotgauge.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.caller.EntryHandler;
import org.apricotgauge.config.ConfigHistory;
import org.apricotgauge.decision.attempt.AttemptIds;
import org.apricotgauge.decision.attempt.AttemptLedger;
import org.apricotgauge.decision.attempt.AttemptLimits;
import org.apricotgauge.decision.detection.ObservationEnd;
import org.apricotgauge.http.HttpClientFactory;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.log.StateLog;
import org.apricotgauge.peer.hop.GuardClient;
import org.apricotgauge.platform.HttpPlatformClient;
import org.apricotgauge.platform.PlatformClient;
import org.apricotgauge.target.GuardHandler;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.jboss.logging.Logger;

/**
 * One node: the entry for callers and the guard of its VM's targets, in one process.
 *
 * <pre>{@code
 * try (Node node = Node.start(settings)) {
 *     node.awaitStop();
 * }
 * }</pre>
 */
public final class Node implements AutoCloseable {
    private static final int MAX_THREADS = 48;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long KEEP_IDLE_MILLIS = 30_000;
    private static final int PER_GUARD = 256;
    private static final int PER_TARGET = 64;
    private static final int FENCES_PER_GUARD = 64;
    private static final int QUEUED = 4_096;
    private static final long DECIDE_EVERY_MILLIS = 100;
    private static final long DRAIN_POLL_MILLIS = 20;

    private final NodeSettings mSettings;
    private final Ticker mTicker = Ticker.system();
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final StateLog mLog = new StateLog(Logger.getLogger(Node.class));
    private final QueuedThreadPool mThreads = new QueuedThreadPool(MAX_THREADS);
    private final ScheduledExecutorScheduler mScheduler =
            new ScheduledExecutorScheduler("node-timer", true);
    private final ScheduledExecutorService mControl =
            Executors.newSingleThreadScheduledExecutor(Node::controlThread);
    private final RoutingState mState;
    private final DetectionService mDetection;
    private final HttpClient mForwarding;
    private final HttpClient mFencing;
    private final HttpClient mTargets;
    private final PlatformClient mPlatform;
    private final PlatformFeed mFeed;
    private final EntryHandler mEntry;
    private final GuardHandler mGuard;
    private final Server mCallerServer;
    private final Server mGuardServer;
    private volatile boolean mStopping;

    private record PhaseChange(String vm, String phase, int callerPort, int guardPort) {}

    private record VersionChange(String vm, long version, String digest) {}

    private Node(NodeSettings settings) {
        mSettings = settings;
        mThreads.setName("node-" + settings.vm());
        long incarnation = new SecureRandom().nextLong();
        mState = new RoutingState(settings.vm(), settings.failureDomain(), mTicker);
        mDetection = new DetectionService(mState, mTicker, System.currentTimeMillis(), mRegistry);
        HttpClientFactory clients = new HttpClientFactory(mThreads, mScheduler);
        mForwarding = clients.create("forwarding", limits(PER_GUARD));
        mFencing = clients.create("fencing", limits(FENCES_PER_GUARD));
        mTargets = clients.create("targets", limits(PER_TARGET));
        mEntry =
                new EntryHandler(
                        mState::table,
                        () -> mStopping,
                        new GuardClient(mForwarding, mFencing, mTicker),
                        mTargets,
                        new AttemptIds(settings.vm(), incarnation),
                        mScheduler,
                        mTicker,
                        (target, outcome, micros) ->
                                mDetection.observed(target, ObservationEnd.ENTRY, outcome, micros),
                        mRegistry);
        mGuard =
                new GuardHandler(
                        settings.vm(),
                        mState::table,
                        mTargets,
                        new AttemptLedger(incarnation, AttemptLimits.DEFAULT),
                        mScheduler,
                        mTicker,
                        (target, outcome, micros) ->
                                mDetection.observed(target, ObservationEnd.GUARD, outcome, micros),
                        mRegistry);
        HttpServerFactory servers = new HttpServerFactory(mThreads, mScheduler);
        mCallerServer = servers.create(settings.host(), settings.callerPort(), mEntry);
        mGuardServer = servers.create(settings.host(), settings.guardPort(), mGuard);
        mPlatform = HttpPlatformClient.open(settings.platform());
        mFeed = new PlatformFeed(mPlatform, mControl, this::versionInForce, mState::vmsChanged);
    }

    private static HttpClientFactory.Limits limits(int connections) {
        return new HttpClientFactory.Limits(
                CONNECT_TIMEOUT_MILLIS, KEEP_IDLE_MILLIS, connections, QUEUED);
    }

    private static Thread controlThread(Runnable work) {
        Thread thread = new Thread(work, "node-control");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Starts a node.
     *
     * @throws IOException if it cannot listen at one of its ports
     */
    public static Node start(NodeSettings settings) throws IOException {
        Node node = new Node(settings);
        try {
            node.mThreads.start();
            node.mScheduler.start();
            HttpClientFactory.start(node.mForwarding);
            HttpClientFactory.start(node.mFencing);
            HttpClientFactory.start(node.mTargets);
            node.mFeed.start();
            node.mControl.scheduleWithFixedDelay(
                    node.mDetection::tick,
                    DECIDE_EVERY_MILLIS,
                    DECIDE_EVERY_MILLIS,
                    TimeUnit.MILLISECONDS);
            node.mGuardServer.start();
            node.mCallerServer.start();
        } catch (Exception e) {
            node.close();
            throw new IOException("node of " + settings.vm() + " does not start: " + e, e);
        }
        node.logPhase("serving");
        return node;
    }

    private void versionInForce(ConfigHistory history) {
        mState.configurationChanged(history);
        mLog.info(
                "version in force",
                new VersionChange(mSettings.vm(), history.version(), history.digest().toString()));
    }

    /** Returns the port at which callers are served. */
    public int callerPort() {
        return HttpServerFactory.portOf(mCallerServer);
    }

    /** Returns the port at which other nodes are served. */
    public int guardPort() {
        return HttpServerFactory.portOf(mGuardServer);
    }

    /** Returns the version of the configuration in force. */
    public long version() {
        return mFeed.history().version();
    }

    /** Returns the counters. */
    public MetricRegistry metrics() {
        return mRegistry;
    }

    /** Takes no new callers, lets all requests end, and stops; bounded by the drain setting. */
    public void drain() throws InterruptedException {
        mStopping = true;
        logPhase("draining");
        long untilMillis = mTicker.millis() + mSettings.drainMillis();
        while (mEntry.inFlight() + mGuard.inFlight() > 0 && mTicker.millis() < untilMillis) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
        }
        close();
    }

    @Override
    public void close() {
        mFeed.close();
        mControl.shutdownNow();
        stop(mCallerServer::stop);
        stop(mGuardServer::stop);
        stop(mForwarding::stop);
        stop(mFencing::stop);
        stop(mTargets::stop);
        stop(mPlatform::close);
        stop(mScheduler::stop);
        stop(mThreads::stop);
        logPhase("stopped");
    }

    private void logPhase(String phase) {
        int callerPort = mCallerServer.isStarted() ? callerPort() : 0;
        int guardPort = mGuardServer.isStarted() ? guardPort() : 0;
        mLog.info("node phase", new PhaseChange(mSettings.vm(), phase, callerPort, guardPort));
    }

    /** Something that may fail to stop. */
    @FunctionalInterface
    private interface Stoppable {
        void stop() throws Exception;
    }

    private static void stop(Stoppable part) {
        try {
            part.stop();
        } catch (Exception e) {
            Logger.getLogger(Node.class).warnf("part of the node does not stop: %s", e);
        }
    }
}
