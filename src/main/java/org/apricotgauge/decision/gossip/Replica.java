package org.apricotgauge.decision.gossip;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apricotgauge.platform.LogRecord;

/**
 * This node's history, with the newest records kept for peers that lag.
 *
 * <p>The history only moves forward. At a position that is already folded, another body or digest
 * is refused: the same version means the same digest everywhere.
 *
 * @param <H> a folded history
 */
final class Replica<H> {
    static final int MAX_RETAINED = 1_024;
    private static final long MAX_RETAINED_CHARS = 8L << 20;
    private static final int MAX_DIGESTS = 16_384;

    /** What came of an offer. */
    enum ApplyResult {
        APPLIED,
        KNOWN,
        GAP,
        CONFLICT,
        UNREADABLE
    }

    /** How another history stands to ours. */
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

    /** Returns how a history with this position and digest stands to ours, so far as we know. */
    Relation relation(long position, String digest) {
        if (position > position()) {
            return Relation.AHEAD;
        }
        String ours = mDigests.get(position);
        if (ours != null && !ours.equals(digest)) {
            return Relation.CONFLICT;
        }
        return position == position() ? Relation.SAME : Relation.BEHIND;
    }

    /**
     * Folds a record if it is the next one.
     *
     * @param digest the digest after it by its sender, or null if the sender gives none
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
        // The sender's history may differ from ours before this record. Adopting its record would
        // mix two histories under one version, so the digest is checked before the swap.
        if (digest != null && !digest.equals(mFold.digest(next))) {
            return ApplyResult.CONFLICT;
        }
        advanceTo(next);
        retain(new DigestedRecord(record, digest()));
        return ApplyResult.APPLIED;
    }

    /** Takes over a snapshot if it is ahead of us. */
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

    /** Returns records after a position, or an empty list if some are no longer kept. */
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
            String ours = mDigests.get(record.position());
            return ours != null && !ours.equals(digest);
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
                    "position fell from " + position() + " to " + mFold.position(next));
        }
        if (mFold.version(next) < mFold.version(mHistory)) {
            throw new IllegalStateException(
                    "version fell from "
                            + mFold.version(mHistory)
                            + " to "
                            + mFold.version(next)
                            + " at position "
                            + mFold.position(next));
        }
        String known = mDigests.putIfAbsent(mFold.position(next), mFold.digest(next));
        if (known != null && !known.equals(mFold.digest(next))) {
            throw new IllegalStateException("two digests at position " + mFold.position(next));
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
