package org.apricotgauge.decision.gossip;

import java.util.List;
import org.apricotgauge.model.Address;

/**
 * What a {@link GossipNode} asks of the world around it.
 *
 * <p>Links that the node dials have positive numbers, which it picks; accepted links have negative
 * ones, which the transport picks. All calls return at once.
 *
 * @param <H> a folded history
 */
public interface PeerTransport<H> {

    /** Dials; ends in {@link GossipNode#onConnected} or {@link GossipNode#onClosed}. */
    void dial(long link, Address address);

    /** Queues a message; a link that is gone swallows it. */
    void send(long link, PeerMessage message);

    /** Closes a link; no {@link GossipNode#onClosed} follows. */
    void close(long link);

    /** Writes a snapshot elsewhere; ends in {@link GossipNode#onSnapshotEncoded}. */
    void encodeSnapshot(H history);

    /**
     * Reads a snapshot elsewhere; ends in {@link GossipNode#onSnapshotDecoded}, with null on
     * failure.
     */
    void decodeSnapshot(List<byte[]> chunks);
}
