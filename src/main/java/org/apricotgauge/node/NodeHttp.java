package org.apricotgauge.node;

import java.util.concurrent.Executor;
import org.apricotgauge.http.HttpClientFactory;
import org.apricotgauge.http.HttpServerFactory;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jboss.logging.Logger;

/** The threads, timers and HTTP clients that a node's entry and guard share. */
final class NodeHttp {
    private static final int MAX_THREADS = 48;

    /** A SYN that was lost is sent again after 1 s; another guard is tried sooner. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    private static final long KEEP_IDLE_MILLIS = 30_000;
    private static final int PER_GUARD = 256;
    private static final int PER_TARGET = 64;
    private static final int FENCES_PER_GUARD = 64;
    private static final int QUEUED = 4_096;

    /** A stopped node has no work left; Jetty's own 5 s would outlast a platform's grace time. */
    private static final long STOP_MILLIS = 200;

    private final QueuedThreadPool mThreads = new QueuedThreadPool(MAX_THREADS);
    private final ScheduledExecutorScheduler mScheduler =
            new ScheduledExecutorScheduler("node-timer", true);
    private final HttpClient mForwarding;
    private final HttpClient mFencing;
    private final HttpClient mTargets;

    NodeHttp(String vm) {
        mThreads.setName("node-" + vm);
        mThreads.setStopTimeout(STOP_MILLIS);
        HttpClientFactory clients = new HttpClientFactory(mThreads, mScheduler);
        mForwarding = clients.create("forwarding", limits(PER_GUARD));
        mFencing = clients.create("fencing", limits(FENCES_PER_GUARD));
        mTargets = clients.create("targets", limits(PER_TARGET));
    }

    private static HttpClientFactory.Limits limits(int connections) {
        return new HttpClientFactory.Limits(
                CONNECT_TIMEOUT_MILLIS, KEEP_IDLE_MILLIS, connections, QUEUED);
    }

    void start() throws Exception {
        mThreads.start();
        mScheduler.start();
        HttpClientFactory.start(mForwarding);
        HttpClientFactory.start(mFencing);
        HttpClientFactory.start(mTargets);
    }

    HttpServerFactory servers() {
        return new HttpServerFactory(mThreads, mScheduler);
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    /** Runs what must not hold up a port's own thread. */
    Executor executor() {
        return mThreads;
    }

    /** Carries attempts to guards. */
    HttpClient forwarding() {
        return mForwarding;
    }

    /** Carries fences, each over a connection of its own. */
    HttpClient fencing() {
        return mFencing;
    }

    /** Reaches targets. */
    HttpClient targets() {
        return mTargets;
    }

    void stop() {
        stop(mForwarding::stop);
        stop(mFencing::stop);
        stop(mTargets::stop);
        stop(mScheduler::stop);
        stop(mThreads::stop);
    }

    /** Something that may fail to stop. */
    @FunctionalInterface
    interface Stoppable {
        /** Stops it. */
        void stop() throws Exception;
    }

    /** Stops one part; a failure must not keep the others from stopping. */
    static void stop(Stoppable part) {
        try {
            part.stop();
        } catch (Exception e) {
            Logger.getLogger(NodeHttp.class).warnf("part of the node does not stop: %s", e);
        }
    }
}
