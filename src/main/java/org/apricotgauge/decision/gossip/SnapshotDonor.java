package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * Serves this node's snapshot to newcomers; one encoding serves all who ask within a minute.
 *
 * @param <H> a folded history
 */
final class SnapshotDonor<H> {
    private static final long KEEP_MILLIS = 60_000;

    private static final int MAX_WAITING = 64;

    private final PeerPort<H> mPort;
    private final Replica<H> mReplica;
    private final List<Long> mWaiting = new ArrayList<>();
    private List<byte[]> mChunks = List.of();
    private long mPosition;
    private String mDigest = "";
    private long mEncodedAtMillis;
    private boolean mEncoding;
    private long mEncodingPosition;
    private String mEncodingDigest = "";

    SnapshotDonor(PeerPort<H> port, Replica<H> replica) {
        mPort = port;
        mReplica = replica;
    }

    /** Sends a chunk; position 0 asks for the first chunk of whatever is at hand. */
    void serve(long link, long position, int chunk) {
        // After a burst of changes the records behind the encoding may be gone again; a newcomer
        // would take the snapshot and still not find the way from it to the head.
        if (mPosition < mReplica.position() && mReplica.retainedAfter(mPosition, 1).isEmpty()) {
            mChunks = List.of();
        }
        if (mChunks.isEmpty()) {
            if (mWaiting.size() < MAX_WAITING) {
                mWaiting.add(link);
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
        for (long link : mWaiting) {
            send(link, 0);
        }
        mWaiting.clear();
    }

    void tick(long nowMillis) {
        // Full size is tens of megabytes; it is not kept when nobody starts.
        if (!mChunks.isEmpty() && nowMillis - mEncodedAtMillis > KEEP_MILLIS) {
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
        mPort.encode(mReplica.history());
    }

    private void send(long link, int chunk) {
        mPort.send(
                link,
                new PeerMessage.SnapshotChunk(
                        mPosition, mDigest, chunk, mChunks.size(), mChunks.get(chunk)));
    }
}
