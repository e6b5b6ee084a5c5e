package org.apricotgauge.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.http.client.UpstreamClientFactory;
import org.apricotgauge.peer.hop.GuardClient;
import org.apricotgauge.stop.PeerStops;
import org.apricotgauge.time.Ticker;
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
    private final UpstreamClientFactory mClients;
    private final UpstreamClient mForwardingClient;
    private final UpstreamClient mFencingClient;
    private final UpstreamClient mTargetClient;

    NodeHttp(String vm) {
        mThreads.setName("node-" + vm);
        mThreads.setStopTimeout(STOP_TIMEOUT_MILLIS);
        mClients = new UpstreamClientFactory(mThreads, mScheduler, CONNECT_TIMEOUT_MILLIS);
        mForwardingClient = mClients.create(limits(CONNECTIONS_PER_GUARD));
        mFencingClient = mClients.create(limits(FENCING_CONNECTIONS_PER_GUARD));
        mTargetClient = mClients.create(limits(CONNECTIONS_PER_TARGET));
    }

    private static UpstreamClientFactory.Limits limits(int connections) {
        return new UpstreamClientFactory.Limits(
                IDLE_TIMEOUT_MILLIS, connections, MAX_QUEUED_REQUESTS);
    }

    /** Returns the thread for a node's own work, which keeps no process running. */
    static ScheduledExecutorService newWorker() {
        return Executors.newSingleThreadScheduledExecutor(
                work -> {
                    Thread thread = new Thread(work, "node-worker");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    void start() throws Exception {
        mThreads.start();
        mScheduler.start();
        mClients.start();
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

    /** Returns the client for guards: attempts, and fences, each over its own connection. */
    GuardClient newGuardClient(PeerStops stops, Ticker ticker) {
        return new GuardClient(mForwardingClient, mFencingClient, stops, ticker);
    }

    /** Returns the client that sends fences, each over its own connection. */
    UpstreamClient fencingClient() {
        return mFencingClient;
    }

    /** Returns the client that sends requests to targets. */
    UpstreamClient targetClient() {
        return mTargetClient;
    }

    void stop() {
        stopClients();
        stopThreads();
    }

    /** Ends the clients, and with them the threads that wait for the network. */
    void stopClients() {
        mForwardingClient.close();
        mFencingClient.close();
        mTargetClient.close();
        stop(mClients::stop);
    }

    /** Ends the threads and timers, after everything that uses them. */
    void stopThreads() {
        stop(mScheduler::stop);
        stop(mThreads::stop);
    }

    // The caller port opens only once the configuration is known. A port that is in use must fail
    // the start, not appear as a fault of a node that has already joined the fleet.
    static void requireFreePort(String host, int callerPort) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.setReuseAddress(true);
            probe.bind(new InetSocketAddress(host, callerPort));
        } catch (IOException e) {
            throw new IOException("--caller-port " + callerPort + ": " + e.getMessage(), e);
        }
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
