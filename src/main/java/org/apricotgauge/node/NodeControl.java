package org.apricotgauge.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.model.ChangesRequest;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.Vm;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;

/**
 * The source of a node's configuration and of the members of its site.
 *
 * <p>{@link GossipControl} applies published patches and gossips with the other nodes; {@link
 * DirectoryControl} reads the keys that the platform publishes.
 */
interface NodeControl extends AutoCloseable {

    /** Returns a future that completes once the node may accept callers. */
    CompletableFuture<Void> ready();

    /** Returns whether this process may act on its state; cheap enough for each request. */
    boolean mayAct();

    /** Publishes evidence to the fleet, if the control has a channel for it. */
    void publishEvidence(String key, long sequence, long lifetimeMillis, byte[] payload);

    /** Runs periodic work; called every {@code TICK_INTERVAL_MILLIS} on the worker. */
    void tick();

    /** Returns the port of the control protocol; 0 if there is none. */
    int peerPort();

    /** Returns the mark that distinguishes this node's history from that of another. */
    Mark mark();

    /**
     * Returns whether the view of the site is fresh enough to choose targets by it; cheap enough
     * for each request.
     */
    boolean isSiteViewFresh();

    /** Returns the revision and age of the view of the site; cheap enough for each request. */
    SiteView siteView();

    /**
     * Adds headers for the other node to a hop; returns the current time for {@link
     * #handleAcknowledgement}.
     */
    long addHopHeaders(HttpFields.Mutable headers);

    /** Handles the headers that another node added to a hop. */
    void handleHopHeaders(HttpFields headers);

    /** Adds the age of this node's view to the acknowledgement of a request. */
    void addAcknowledgementHeaders(HttpFields.Mutable headers);

    /**
     * Handles the headers of the acknowledgement of a request.
     *
     * @param requestedAtMillis the time that {@link #addHopHeaders} returned for the request
     */
    void handleAcknowledgement(HttpFields headers, long requestedAtMillis);

    /** Returns the encoded changes that a peer requests; empty if this node reads no such items. */
    CompletableFuture<byte[]> changesFor(ChangesRequest request);

    @Override
    void close();

    /**
     * Distinguishes two histories.
     *
     * @param versionDigest digest of the version in force; empty before the first
     * @param historyDigest digest of everything read up to the position; empty if there is none
     * @param position position up to which the platform's history was read
     */
    record Mark(String versionDigest, String historyDigest, long position) {}

    /** Receives updates, on any thread; must not block. */
    interface Listener {
        /** Called when a later version is in force. */
        void onConfiguration(long version, Configuration configuration, Mark mark);

        /** Called when the members changed. */
        void onMembers(SiteMembers members);

        /** Called with another node's evidence about its targets of a service. */
        void onEvidence(String vm, String service, byte[] payload);

        /** Called when an invariant is broken; the process must stop. */
        void onFatalError(RuntimeException failure);
    }

    /**
     * The dependencies of a control.
     *
     * @param vm the node's own VM, with the ports that it listens at
     * @param crashMessagePort UDP port of every node for crash messages; 0 if each has its own
     * @param listener receives updates
     * @param events the node's events
     * @param metrics registry of the counters
     * @param worker the node's own worker thread
     * @param ticker monotonic clock
     * @param stop when the node ends
     * @param queryClient HTTP client for queries to other guards and the platform
     */
    record Dependencies(
            Vm vm,
            int crashMessagePort,
            Listener listener,
            NodeEvents events,
            MetricRegistry metrics,
            ScheduledExecutorService worker,
            Ticker ticker,
            StopSchedule stop,
            UpstreamClient queryClient) {}

    /** Starts the control of a node. */
    @FunctionalInterface
    interface Factory {
        /**
         * Starts the control.
         *
         * @throws IOException if it cannot listen or connect
         */
        NodeControl start(Dependencies dependencies) throws IOException;
    }
}
