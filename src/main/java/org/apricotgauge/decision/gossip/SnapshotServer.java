package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * Serves this node's snapshot to new nodes; an encoded snapshot is cached for one minute.
 *
 * @param <H> a folded history
 */
final class SnapshotServer<H> {
    private static final long CACHE_MILLIS = 60_000;

    private static final int MAX_WAITING_LINKS = 64;

    private final PeerTransport<H> mTransport;
    private final Replica<H> mReplica;
    private final List<Long> mWaitingLinks = new ArrayList<>();
    private List<byte[]> mChunks = List.of();
    private long mPosition;
    private String mDigest = "";
    private long mEncodedAtMillis;
    private boolean mEncoding;
    private long mEncodingPosition;
    private String mEncodingDigest = "";

    SnapshotServer(PeerTransport<H> transport, Replica<H> replica) {
        mTransport = transport;
        mReplica = replica;
    }

    /** Sends a chunk; position 0 requests the first chunk of the cached snapshot. */
    void serve(long link, long position, int chunk) {
        // After a burst of changes the records that follow the cached snapshot may no longer be
        // retained; a new node could then not catch up from the snapshot to the head of the log.
        if (mPosition < mReplica.position() && mReplica.retainedAfter(mPosition, 1).isEmpty()) {
            mChunks = List.of();
        }
        if (mChunks.isEmpty()) {
            if (mWaitingLinks.size() < MAX_WAITING_LINKS) {
                mWaitingLinks.add(link);
            }
            startEncoding();
            return;
        }
        boolean known = position == mPosition && chunk >= 0 && chunk < mChunks.size();
        send(link, known ? chunk : 0);
    }

    void onEncoded(List<byte[]> chunks, long nowMillis) {
        mEncoding = false;
        mChunks = List.copyOf(chunks);
        mPosition = mEncodingPosition;
        mDigest = mEncodingDigest;
        mEncodedAtMillis = nowMillis;
        for (long link : mWaitingLinks) {
            send(link, 0);
        }
        mWaitingLinks.clear();
    }

    void tick(long nowMillis) {
        // A snapshot of full size is tens of megabytes, so it is evicted while no node starts.
        if (!mChunks.isEmpty() && nowMillis - mEncodedAtMillis > CACHE_MILLIS) {
            mChunks = List.of();
        }
    }

    private void startEncoding() {
        if (mEncoding) {
            return;
        }
        mEncoding = true;
        mEncodingPosition = mReplica.position();
        mEncodingDigest = mReplica.digest();
        mTransport.encodeSnapshot(mReplica.history());
    }

    private void send(long link, int chunk) {
        mTransport.send(
                link,
                new PeerMessage.SnapshotChunk(
                        mPosition, mDigest, chunk, mChunks.size(), mChunks.get(chunk)));
    }
}
