package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.List;

/** A snapshot download in progress; chunks are requested one at a time to keep queues short. */
final class SnapshotFetch {
    final long mLink;
    final String mDigest;
    final List<byte[]> mChunks = new ArrayList<>();
    long mDeadlineMillis;
    private final long mPosition;
    private final int mChunkCount;

    SnapshotFetch(long link, PeerMessage.SnapshotChunk first) {
        mLink = link;
        mDigest = first.digest();
        mPosition = first.position();
        mChunkCount = first.chunks();
    }

    boolean accept(long link, PeerMessage.SnapshotChunk chunk) {
        if (link != mLink || chunk.position() != mPosition || chunk.chunk() != mChunks.size()) {
            return false;
        }
        mChunks.add(chunk.bytes());
        return true;
    }

    boolean complete() {
        return mChunks.size() == mChunkCount;
    }
}
