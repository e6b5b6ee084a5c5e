package org.apricotgauge.decision.gossip;

import java.util.List;
import org.apricotgauge.model.Address;

/**
 * The I/O operations that a {@link GossipNode} depends on.
 *
 * <p>Links that the node dials have positive IDs chosen by the node; accepted links have negative
 * IDs chosen by the transport. All calls are non-blocking.
 *
 * @param <H> a folded history
 */
public interface PeerTransport<H> {

    /**
     * Dials an address; completes with {@link GossipNode#onConnected} or {@link
     * GossipNode#onClosed}.
     */
    void dial(long link, Address address);

    /** Queues a message; it is dropped if the link is closed. */
    void send(long link, PeerMessage message);

    /** Closes a link, without a call of {@link GossipNode#onClosed}. */
    void close(long link);

    /**
     * Encodes a snapshot on another thread; completes with {@link GossipNode#onSnapshotEncoded}.
     */
    void encodeSnapshot(H history);

    /**
     * Decodes a snapshot on another thread; completes with {@link GossipNode#onSnapshotDecoded},
     * with null on failure.
     */
    void decodeSnapshot(List<byte[]> chunks);
}
