package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.platform.LogRecord;

/**
 * Replicates log records to every node: eager push of small updates, pull of larger ones,
 * anti-entropy by position and digest on every heartbeat, and chunked snapshots for nodes far
 * behind.
 *
 * @param <H> a folded history
 */
final class Dissemination<H> {
    private static final int PUSH_MAX_CHARS = 16 << 10;
    private static final int PULL_MAX_CHARS = 256 << 10;
    private static final long PULL_TIMEOUT_MILLIS = 500;
    private static final long CHUNK_TIMEOUT_MILLIS = 3_000;

    /** Receives changes of the history. */
    interface Listener {
        void onHistoryAdvanced();

        /** Announces the local summary to all peers except the source. */
        void announce(Link source);
    }

    private final GossipContext mContext;
    private final PeerTransport<H> mTransport;
    private final Replica<H> mReplica;
    private final Listener mListener;
    private final SnapshotServer<H> mSnapshotServer;
    private long mPullDeadlineMillis;
    private SnapshotFetch mFetch;

    Dissemination(
            GossipContext context,
            PeerTransport<H> transport,
            ConfigFold<H> fold,
            Listener listener) {
        mContext = context;
        mTransport = transport;
        mReplica = new Replica<>(fold);
        mListener = listener;
        mSnapshotServer = new SnapshotServer<>(transport, mReplica);
    }

    Replica<H> replica() {
        return mReplica;
    }

    SnapshotServer<H> snapshotServer() {
        return mSnapshotServer;
    }

    /** Handles a summary received from a peer. */
    void onSummary(Link link, StateSummary summary, long nowMillis) {
        link.mSummary = summary;
        switch (mReplica.relation(summary.position(), summary.digest())) {
            case CONFLICT -> onConflict(link);
            case AHEAD -> pullFrom(link, nowMillis);
            default -> link.mHistoryConflict = false;
        }
    }

    void onEntriesRequest(Link link, PeerMessage.EntriesRequest request) {
        if (mReplica.relation(request.afterPosition(), request.digest())
                == Replica.Relation.CONFLICT) {
            onConflict(link);
            return;
        }
        if (request.afterPosition() >= mReplica.position()) {
            return;
        }
        List<DigestedRecord> records =
                mReplica.retainedAfter(request.afterPosition(), PULL_MAX_CHARS);
        if (records.isEmpty()) {
            mSnapshotServer.serve(link.mId, 0, 0);
        } else {
            mTransport.send(link.mId, new PeerMessage.Entries(records));
        }
    }

    void onEntries(Link link, List<DigestedRecord> records, long nowMillis) {
        mPullDeadlineMillis = 0;
        List<DigestedRecord> applied = new ArrayList<>();
        for (DigestedRecord entry : records) {
            if (!applyRecord(link, entry, applied, nowMillis)) {
                break;
            }
        }
        onApplied(applied, link);
        if (!link.mHistoryConflict && link.mSummary.position() > mReplica.position()) {
            pullFrom(link, nowMillis);
        }
    }

    /**
     * Applies records from the platform.
     *
     * @return whether all records were known or applied
     */
    boolean onPublished(List<LogRecord> records) {
        List<DigestedRecord> applied = new ArrayList<>();
        boolean isComplete = true;
        for (LogRecord record : records) {
            Replica.ApplyResult result = mReplica.offer(record, null);
            if (result == Replica.ApplyResult.APPLIED) {
                applied.add(new DigestedRecord(record, mReplica.digest()));
            } else if (result != Replica.ApplyResult.KNOWN) {
                countRejection(result);
                isComplete = false;
                break;
            }
        }
        onApplied(applied, null);
        return isComplete;
    }

    void onChunk(Link link, PeerMessage.SnapshotChunk chunk, long nowMillis) {
        mPullDeadlineMillis = 0;
        if (chunk.position() <= mReplica.position()) {
            mFetch = null;
            return;
        }
        boolean isFirst = chunk.chunk() == 0;
        if (isFirst && (mFetch == null || mFetch.mLink == link.mId)) {
            mFetch = new SnapshotFetch(link.mId, chunk);
        }
        if (mFetch == null || !mFetch.accept(link.mId, chunk)) {
            return;
        }
        mFetch.mDeadlineMillis = nowMillis + CHUNK_TIMEOUT_MILLIS;
        if (mFetch.complete()) {
            mFetch.mDeadlineMillis = Long.MAX_VALUE;
            mTransport.decodeSnapshot(mFetch.mChunks);
        } else {
            int next = mFetch.mChunks.size();
            mTransport.send(link.mId, new PeerMessage.SnapshotRequest(chunk.position(), next));
        }
    }

    /**
     * Adopts a decoded snapshot if it is ahead of the local history and matches its digest.
     *
     * @param snapshot the snapshot, or null if it could not be decoded
     * @param digest the expected digest, or null for a snapshot requested from a peer
     */
    void onDecoded(H snapshot, String digest) {
        String expected = digest == null && mFetch != null ? mFetch.mDigest : digest;
        mFetch = null;
        if (snapshot == null || expected == null) {
            mContext.count(GossipEvent.SNAPSHOT_REFUSED);
            return;
        }
        switch (mReplica.adoptSnapshot(snapshot, expected)) {
            case APPLIED -> {
                mContext.count(GossipEvent.SNAPSHOT_ADOPTED);
                mListener.announce(null);
                mListener.onHistoryAdvanced();
            }
            case KNOWN -> {
                return;
            }
            default -> mContext.count(GossipEvent.SNAPSHOT_REFUSED);
        }
    }

    void onClosed(Link link) {
        if (mFetch != null && mFetch.mLink == link.mId && !mFetch.complete()) {
            mFetch = null;
        }
    }

    void tick(long nowMillis) {
        if (mFetch != null && nowMillis > mFetch.mDeadlineMillis) {
            mFetch = null;
        }
        mSnapshotServer.tick(nowMillis);
        List<Link> ahead =
                mContext.links()
                        .where(
                                link ->
                                        link.established()
                                                && !link.mHistoryConflict
                                                && link.mSummary.position() > mReplica.position());
        Link chosen = mContext.pick(ahead);
        if (chosen != null) {
            pullFrom(chosen, nowMillis);
        }
    }

    private void pullFrom(Link link, long nowMillis) {
        if (!link.established() || nowMillis < mPullDeadlineMillis || mFetch != null) {
            return;
        }
        mPullDeadlineMillis = nowMillis + PULL_TIMEOUT_MILLIS;
        mTransport.send(
                link.mId, new PeerMessage.EntriesRequest(mReplica.position(), mReplica.digest()));
    }

    private boolean applyRecord(
            Link link, DigestedRecord entry, List<DigestedRecord> applied, long nowMillis) {
        Replica.ApplyResult result = mReplica.offer(entry.record(), entry.digest());
        switch (result) {
            case APPLIED -> applied.add(entry);
            case KNOWN -> {
                return true;
            }
            case GAP -> {
                pullFrom(link, nowMillis);
                return false;
            }
            case CONFLICT -> {
                onConflict(link);
                return false;
            }
            default -> {
                countRejection(result);
                return false;
            }
        }
        return true;
    }

    private void onApplied(List<DigestedRecord> applied, Link source) {
        if (applied.isEmpty()) {
            return;
        }
        int chars = 0;
        for (DigestedRecord entry : applied) {
            chars += entry.record().body().length();
        }
        if (chars > PUSH_MAX_CHARS) {
            mListener.announce(source);
        } else {
            sendToOthers(source, new PeerMessage.Entries(applied));
        }
        mListener.onHistoryAdvanced();
    }

    private void sendToOthers(Link source, PeerMessage message) {
        for (Link link : mContext.links().established()) {
            if (link != source && !link.mHistoryConflict) {
                mTransport.send(link.mId, message);
            }
        }
    }

    private void onConflict(Link link) {
        // The peer has a different body at a position that is already folded. This node can't
        // decide which of the two is right; the local one stays in force, and the event is logged
        // for operators.
        if (!link.mHistoryConflict) {
            mContext.count(GossipEvent.HISTORY_CONFLICT);
        }
        link.mHistoryConflict = true;
    }

    private void countRejection(Replica.ApplyResult result) {
        if (result == Replica.ApplyResult.CONFLICT) {
            mContext.count(GossipEvent.HISTORY_CONFLICT);
        } else if (result == Replica.ApplyResult.UNREADABLE) {
            mContext.count(GossipEvent.RECORD_UNREADABLE);
        }
    }
}
