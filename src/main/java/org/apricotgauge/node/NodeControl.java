package org.apricotgauge.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.Vm;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;

/**
 * Where a node learns the configuration and the members of its site from.
 *
 * <p>{@link GossipControl} folds published patches and gossips with the other nodes; {@link
 * DirectoryControl} reads what the platform publishes under keys.
 */
interface NodeControl extends AutoCloseable {

    /** Returns a future that completes once the node may open to callers. */
    CompletableFuture<Void> ready();

    /** Returns whether this process may act on what it knows; cheap enough for each request. */
    boolean mayAct();

    /** Tells the fleet that the VM's node is stopping. */
    void announceLeaving();

    /** Tells the fleet a piece of evidence, if there is a channel for it. */
    void publishEvidence(String key, long sequence, long lifetimeMillis, byte[] payload);

    /** Does what is due; called every {@code DECIDE_EVERY_MILLIS} on the worker. */
    void tick();

    /** Returns the port of the control protocol; 0 if there is none. */
    int peerPort();

    /** Returns what tells two nodes' histories apart. */
    Mark mark();

    /**
     * Returns whether what is known of the site is young enough to send work to targets by it;
     * cheap enough for each request.
     */
    boolean isSiteViewFresh();

    /** Returns what is known of the site, and since when; cheap enough for each request. */
    SiteView siteView();

    /**
     * Adds to a hop's head what the other node should know; returns a time to give to {@link
     * #handleAcknowledgement}.
     */
    long addHopHeaders(HttpFields.Mutable headers);

    /** Takes what a hop's head tells. */
    void handleHopHeaders(HttpFields headers);

    /** Adds to the acknowledgement of a request how old what this node knows is. */
    void addAcknowledgementHeaders(HttpFields.Mutable headers);

    /**
     * Takes what the acknowledgement of a request tells.
     *
     * @param askedMillis what {@link #addHopHeaders} returned for the request
     */
    void handleAcknowledgement(HttpFields headers, long askedMillis);

    /**
     * Answers a peer that asks what is published; empty if that is not what this node reads.
     *
     * @param afterRevision revision that the peer has
     * @param waitMillis how long it waits for a change; 0 if it asks for a younger view
     * @param compressed whether it takes compressed values
     */
    CompletableFuture<byte[]> changesAfter(long afterRevision, long waitMillis, boolean compressed);

    @Override
    void close();

    /**
     * What tells two histories apart.
     *
     * @param versionDigest digest of the version in force; empty before the first
     * @param historyDigest digest of all that was read up to the position; empty if there is none
     * @param position how far the platform's history was read
     */
    record Mark(String versionDigest, String historyDigest, long position) {}

    /** Hears what is in force; on any thread, must not block. */
    interface Listener {
        /** A later version is in force. */
        void onConfiguration(long version, Configuration configuration, Mark mark);

        /** The members changed. */
        void onMembers(SiteMembers members);

        /** Another node told evidence about its targets of a service. */
        void onEvidence(String vm, String service, byte[] payload);

        /** An invariant broke; the process must end. */
        void onFatalError(RuntimeException failure);
    }

    /**
     * What a control is made of.
     *
     * @param vm the node's own VM, with the ports that it listens at
     * @param crashMessagePort UDP port of every node for news of crashes; 0 if each has its own
     * @param listener hears what is in force
     * @param events the node's events
     * @param metrics takes counters
     * @param worker the node's own thread
     * @param ticker time of intervals
     * @param queryClient carries questions to other guards
     */
    record Dependencies(
            Vm vm,
            int crashMessagePort,
            Listener listener,
            NodeEvents events,
            MetricRegistry metrics,
            ScheduledExecutorService worker,
            Ticker ticker,
            HttpClient queryClient) {}

    /** Starts the control of a node. */
    @FunctionalInterface
    interface Factory {
        /**
         * Starts it.
         *
         * @throws IOException if it cannot listen or connect
         */
        NodeControl start(Dependencies parts) throws IOException;
    }
}
