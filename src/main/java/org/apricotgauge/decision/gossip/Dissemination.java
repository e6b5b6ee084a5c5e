package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.platform.LogRecord;

/**
 * Brings log records to every node: eager push of small news, pull of the rest, anti-entropy by
 * (position, digest) on every heartbeat, and snapshots in chunks for those far behind.
 *
 * @param <H> a folded history
 */
final class Dissemination<H> {
    private static final int PUSH_MAX_CHARS = 16 << 10;
    private static final int PULL_MAX_CHARS = 256 << 10;
    private static final long PULL_TIMEOUT_MILLIS = 500;
    private static final long CHUNK_TIMEOUT_MILLIS = 3_000;

    /** Told what changed. */
    interface Listener {
        void onAdvanced();

        /** All peers but the source are to hear what this node now holds. */
        void announce(Link source);
    }

    private final GossipContext mContext;
    private final PeerPort<H> mPort;
    private final Replica<H> mReplica;
    private final Listener mListener;
    private final SnapshotDonor<H> mDonor;
    private long mPullUntilMillis;
    private SnapshotFetch mFetch;

    Dissemination(GossipContext context, PeerPort<H> port, ConfigFold<H> fold, Listener listener) {
        mContext = context;
        mPort = port;
        mReplica = new Replica<>(fold);
        mListener = listener;
        mDonor = new SnapshotDonor<>(port, mReplica);
    }

    Replica<H> replica() {
        return mReplica;
    }

    SnapshotDonor<H> donor() {
        return mDonor;
    }

    /** Takes in what a peer says that it holds. */
    void onSummary(Link link, Summary summary, long nowMillis) {
        link.mSummary = summary;
        switch (mReplica.relation(summary.position(), summary.digest())) {
            case CONFLICT -> onConflict(link);
            case AHEAD -> pullFrom(link, nowMillis);
            default -> link.mConflict = false;
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
            mDonor.serve(link.mId, 0, 0);
        } else {
            mPort.send(link.mId, new PeerMessage.Entries(records));
        }
    }

    void onEntries(Link link, List<DigestedRecord> records, long nowMillis) {
        mPullUntilMillis = 0;
        List<DigestedRecord> applied = new ArrayList<>();
        for (DigestedRecord entry : records) {
            if (!takeIn(link, entry, applied, nowMillis)) {
                break;
            }
        }
        afterApplying(applied, link);
        if (!link.mConflict && link.mSummary.position() > mReplica.position()) {
            pullFrom(link, nowMillis);
        }
    }

    /**
     * Takes in records from the platform.
     *
     * @return whether all were known or applied
     */
    boolean onPublished(List<LogRecord> records) {
        List<DigestedRecord> applied = new ArrayList<>();
        boolean whole = true;
        for (LogRecord record : records) {
            Replica.Verdict verdict = mReplica.offer(record, null);
            if (verdict == Replica.Verdict.APPLIED) {
                applied.add(new DigestedRecord(record, mReplica.digest()));
            } else if (verdict != Replica.Verdict.KNOWN) {
                countRefusal(verdict);
                whole = false;
                break;
            }
        }
        afterApplying(applied, null);
        return whole;
    }

    void onChunk(Link link, PeerMessage.SnapshotChunk chunk, long nowMillis) {
        mPullUntilMillis = 0;
        if (chunk.position() <= mReplica.position()) {
            mFetch = null;
            return;
        }
        boolean starts = chunk.chunk() == 0;
        if (starts && (mFetch == null || mFetch.mLink == link.mId)) {
            mFetch = new SnapshotFetch(link.mId, chunk);
        }
        if (mFetch == null || !mFetch.accept(link.mId, chunk)) {
            return;
        }
        mFetch.mDeadlineMillis = nowMillis + CHUNK_TIMEOUT_MILLIS;
        if (mFetch.complete()) {
            mFetch.mDeadlineMillis = Long.MAX_VALUE;
            mPort.decode(mFetch.mChunks);
        } else {
            int next = mFetch.mChunks.size();
            mPort.send(link.mId, new PeerMessage.SnapshotRequest(chunk.position(), next));
        }
    }

    /** Takes over a snapshot that was read elsewhere; null if it could not be read. */
    void onDecoded(H snapshot, String digest) {
        String expected = digest == null && mFetch != null ? mFetch.mDigest : digest;
        mFetch = null;
        if (snapshot == null || expected == null) {
            mContext.count(GossipEvent.SNAPSHOT_REFUSED);
            return;
        }
        switch (mReplica.adopt(snapshot, expected)) {
            case APPLIED -> {
                mContext.count(GossipEvent.SNAPSHOT_ADOPTED);
                mListener.announce(null);
                mListener.onAdvanced();
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
        mDonor.tick(nowMillis);
        List<Link> ahead =
                mContext.links()
                        .where(
                                link ->
                                        link.established()
                                                && !link.mConflict
                                                && link.mSummary.position() > mReplica.position());
        Link chosen = mContext.pick(ahead);
        if (chosen != null) {
            pullFrom(chosen, nowMillis);
        }
    }

    private void pullFrom(Link link, long nowMillis) {
        if (!link.established() || nowMillis < mPullUntilMillis || mFetch != null) {
            return;
        }
        mPullUntilMillis = nowMillis + PULL_TIMEOUT_MILLIS;
        mPort.send(
                link.mId, new PeerMessage.EntriesRequest(mReplica.position(), mReplica.digest()));
    }

    private boolean takeIn(
            Link link, DigestedRecord entry, List<DigestedRecord> applied, long nowMillis) {
        Replica.Verdict verdict = mReplica.offer(entry.record(), entry.digest());
        switch (verdict) {
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
                countRefusal(verdict);
                return false;
            }
        }
        return true;
    }

    private void afterApplying(List<DigestedRecord> applied, Link source) {
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
            toAllBut(source, new PeerMessage.Entries(applied));
        }
        mListener.onAdvanced();
    }

    private void toAllBut(Link source, PeerMessage message) {
        for (Link link : mContext.links().established()) {
            if (link != source && !link.mConflict) {
                mPort.send(link.mId, message);
            }
        }
    }

    private void onConflict(Link link) {
        // Somebody holds another body at a position we have. Which of the two is right cannot be
        // told from here; ours is in force and stays, and an operator has to see it.
        if (!link.mConflict) {
            mContext.count(GossipEvent.HISTORY_CONFLICT);
        }
        link.mConflict = true;
    }

    private void countRefusal(Replica.Verdict verdict) {
        if (verdict == Replica.Verdict.CONFLICT) {
            mContext.count(GossipEvent.HISTORY_CONFLICT);
        } else if (verdict == Replica.Verdict.UNREADABLE) {
            mContext.count(GossipEvent.RECORD_UNREADABLE);
        }
    }
}
