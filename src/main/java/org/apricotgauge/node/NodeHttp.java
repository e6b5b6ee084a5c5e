package org.apricotgauge.node;

import java.util.concurrent.Executor;
import org.apricotgauge.http.HttpClientFactory;
import org.apricotgauge.http.HttpServerFactory;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jboss.logging.Logger;

/** The threads, timers and HTTP clients shared by a node's entry and guard. */
final class NodeHttp {
    private static final int MAX_THREADS = 48;

    /** A lost SYN is retransmitted after 1 s; another guard is tried sooner. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    private static final long IDLE_TIMEOUT_MILLIS = 30_000;
    private static final int CONNECTIONS_PER_GUARD = 256;
    private static final int CONNECTIONS_PER_TARGET = 64;
    private static final int FENCING_CONNECTIONS_PER_GUARD = 64;
    private static final int MAX_QUEUED_REQUESTS = 4_096;

    /**
     * A stopped node has no work left; Jetty's default of 5 s would exceed a platform's grace time.
     */
    private static final long STOP_TIMEOUT_MILLIS = 200;

    private final QueuedThreadPool mThreads = new QueuedThreadPool(MAX_THREADS);
    private final ScheduledExecutorScheduler mScheduler =
            new ScheduledExecutorScheduler("node-timer", true);
    private final HttpClient mForwardingClient;
    private final HttpClient mFencingClient;
    private final HttpClient mTargetClient;

    NodeHttp(String vm) {
        mThreads.setName("node-" + vm);
        mThreads.setStopTimeout(STOP_TIMEOUT_MILLIS);
        HttpClientFactory clients = new HttpClientFactory(mThreads, mScheduler);
        mForwardingClient = clients.create("forwarding", limits(CONNECTIONS_PER_GUARD));
        mFencingClient = clients.create("fencing", limits(FENCING_CONNECTIONS_PER_GUARD));
        mTargetClient = clients.create("targets", limits(CONNECTIONS_PER_TARGET));
    }

    private static HttpClientFactory.Limits limits(int connections) {
        return new HttpClientFactory.Limits(
                CONNECT_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS, connections, MAX_QUEUED_REQUESTS);
    }

    void start() throws Exception {
        mThreads.start();
        mScheduler.start();
        HttpClientFactory.start(mForwardingClient);
        HttpClientFactory.start(mFencingClient);
        HttpClientFactory.start(mTargetClient);
    }

    HttpServerFactory servers() {
        return new HttpServerFactory(mThreads, mScheduler);
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    /** Returns the executor for work that must not block a port's own thread. */
    Executor executor() {
        return mThreads;
    }

    /** Returns the client that sends attempts to guards. */
    HttpClient forwardingClient() {
        return mForwardingClient;
    }

    /** Returns the client that sends fences, each over its own connection. */
    HttpClient fencingClient() {
        return mFencingClient;
    }

    /** Returns the client that sends requests to targets. */
    HttpClient targetClient() {
        return mTargetClient;
    }

    void stop() {
        stop(mForwardingClient::stop);
        stop(mFencingClient::stop);
        stop(mTargetClient::stop);
        stop(mScheduler::stop);
        stop(mThreads::stop);
    }

    /** A part whose stop may fail. */
    @FunctionalInterface
    interface Stoppable {
        /** Stops the part. */
        void stop() throws Exception;
    }

    /** Stops one part; a failure is logged and must not keep the others from stopping. */
    static void stop(Stoppable part) {
        try {
            part.stop();
        } catch (Exception e) {
            Logger.getLogger(NodeHttp.class).warnf("cannot stop a part of the node: %s", e);
        }
    }
}
