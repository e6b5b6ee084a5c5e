package org.apricotgauge.decision.gossip;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apricotgauge.platform.LogRecord;

/**
 * The local replica of the history, which retains the newest records for lagging peers.
 *
 * <p>The history only advances. At a position that is already folded, a different body or digest is
 * rejected: the same version has the same digest on every node.
 *
 * @param <H> a folded history
 */
final class Replica<H> {
    static final int MAX_RETAINED = 1_024;
    private static final long MAX_RETAINED_CHARS = 8L << 20;
    private static final int MAX_DIGESTS = 16_384;

    /** Result of applying a record or a snapshot. */
    enum ApplyResult {
        APPLIED,
        KNOWN,
        GAP,
        CONFLICT,
        UNREADABLE
    }

    /** Relation of another history to the local one. */
    enum Relation {
        SAME,
        BEHIND,
        AHEAD,
        CONFLICT
    }

    private final ConfigFold<H> mFold;
    private final ArrayDeque<DigestedRecord> mRetained = new ArrayDeque<>();
    private final Map<Long, String> mDigests =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
                    return size() > MAX_DIGESTS;
                }
            };
    private long mRetainedChars;
    private H mHistory;

    Replica(ConfigFold<H> fold) {
        mFold = fold;
        mHistory = fold.empty();
        mDigests.put(position(), digest());
    }

    H history() {
        return mHistory;
    }

    long position() {
        return mFold.position(mHistory);
    }

    String digest() {
        return mFold.digest(mHistory);
    }

    /** Returns the relation of a history to the local one, as far as its digest is still known. */
    Relation relation(long position, String digest) {
        if (position > position()) {
            return Relation.AHEAD;
        }
        String localDigest = mDigests.get(position);
        if (localDigest != null && !localDigest.equals(digest)) {
            return Relation.CONFLICT;
        }
        return position == position() ? Relation.SAME : Relation.BEHIND;
    }

    /**
     * Folds a record if it is the next one.
     *
     * @param digest the sender's digest after the record, or null if the sender provides none
     */
    ApplyResult offer(LogRecord record, String digest) {
        if (record.position() > position() + 1) {
            return ApplyResult.GAP;
        }
        if (record.position() <= position()) {
            return conflictsWithHistory(record, digest) ? ApplyResult.CONFLICT : ApplyResult.KNOWN;
        }
        H next = mFold.apply(mHistory, record);
        if (next == null) {
            return ApplyResult.UNREADABLE;
        }
        // The sender's history may differ from the local one before this record. Applying its
        // record would mix two histories under one version, so the digest is checked first.
        if (digest != null && !digest.equals(mFold.digest(next))) {
            return ApplyResult.CONFLICT;
        }
        advanceTo(next);
        retain(new DigestedRecord(record, digest()));
        return ApplyResult.APPLIED;
    }

    /** Replaces the history by a snapshot if the snapshot is ahead. */
    ApplyResult adoptSnapshot(H snapshot, String digest) {
        if (!mFold.digest(snapshot).equals(digest)) {
            return ApplyResult.CONFLICT;
        }
        if (mFold.position(snapshot) <= position()) {
            return ApplyResult.KNOWN;
        }
        advanceTo(snapshot);
        mRetained.clear();
        mRetainedChars = 0;
        return ApplyResult.APPLIED;
    }

    /** Returns records after a position, or an empty list if some are no longer retained. */
    List<DigestedRecord> retainedAfter(long position, int maxChars) {
        List<DigestedRecord> records = new ArrayList<>();
        if (mRetained.isEmpty() || mRetained.getFirst().record().position() > position + 1) {
            return records;
        }
        int chars = 0;
        for (DigestedRecord entry : mRetained) {
            if (entry.record().position() <= position) {
                continue;
            }
            chars += entry.record().body().length();
            if (!records.isEmpty() && chars > maxChars) {
                break;
            }
            records.add(entry);
        }
        return records;
    }

    private boolean conflictsWithHistory(LogRecord record, String digest) {
        if (digest != null) {
            String localDigest = mDigests.get(record.position());
            return localDigest != null && !localDigest.equals(digest);
        }
        for (DigestedRecord entry : mRetained) {
            if (entry.record().position() == record.position()) {
                return !entry.record().body().equals(record.body());
            }
        }
        return false;
    }

    private void advanceTo(H next) {
        if (mFold.position(next) <= position()) {
            throw new IllegalStateException(
                    "position decreased from " + position() + " to " + mFold.position(next));
        }
        if (mFold.version(next) < mFold.version(mHistory)) {
            throw new IllegalStateException(
                    "version decreased from "
                            + mFold.version(mHistory)
                            + " to "
                            + mFold.version(next)
                            + " at position "
                            + mFold.position(next));
        }
        String existing = mDigests.putIfAbsent(mFold.position(next), mFold.digest(next));
        if (existing != null && !existing.equals(mFold.digest(next))) {
            throw new IllegalStateException(
                    "conflicting digests at position " + mFold.position(next));
        }
        mHistory = next;
    }

    private void retain(DigestedRecord entry) {
        mRetained.addLast(entry);
        mRetainedChars += entry.record().body().length();
        while (mRetained.size() > MAX_RETAINED || mRetainedChars > MAX_RETAINED_CHARS) {
            mRetainedChars -= mRetained.removeFirst().record().body().length();
        }
    }
}
