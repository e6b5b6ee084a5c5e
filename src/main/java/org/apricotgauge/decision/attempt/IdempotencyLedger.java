package org.apricotgauge.decision.attempt;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.model.Checks;

/**
 * A guard's memory of the Idempotency-Keys whose home is its target.
 *
 * <pre>{@code
 * KeyVerdict verdict = ledger.begin(key, fingerprint, homeSinceMillis, now);
 * if (verdict instanceof KeyVerdict.Run) {
 *     // run it, then exactly one of completed(...), uncertain(...), notRun(...)
 * }
 * }</pre>
 *
 * <p>Promise: a key runs at most once from its first submission until the retention after its end,
 * while this process lives and both submissions reach it. What restarts and partitions do to that
 * is written in docs/design/at-most-once.md. One short lock; safe to share between threads.
 */
public final class IdempotencyLedger {

    private enum State {
        RUNNING,
        COMPLETED,
        OUTCOME_UNKNOWN
    }

    private static final class Entry {
        private final IdempotencyKey mKey;
        private final long mFingerprint;
        private State mState = State.RUNNING;
        private StoredAnswer mAnswer;
        private long mEndedAtMillis;

        private Entry(IdempotencyKey key, long fingerprint) {
            mKey = key;
            mFingerprint = fingerprint;
        }
    }

    private final KeyLimits mLimits;
    private final long mStartedAtMillis;
    private final Map<IdempotencyKey, Entry> mEntries = new HashMap<>();
    private final Deque<Entry> mEndedEntries = new ArrayDeque<>();
    private final Deque<Entry> mEntriesWithBody = new ArrayDeque<>();
    private long mStoredBytes;
    private long mLatestMillis;

    /** Takes the bounds and the time at which the process began to remember. */
    public IdempotencyLedger(KeyLimits limits, long startedAtMillis) {
        mLimits = Checks.notNull("limits", limits);
        mStartedAtMillis = startedAtMillis;
        mLatestMillis = startedAtMillis;
    }

    /**
     * Decides on a submission; only {@link KeyDecision.Execute} may run.
     *
     * @param fingerprint hash of what makes the request the same: method, target URI, length
     * @param homeSinceMillis when the configuration made this target the key's home, or any time
     *     before the start of the process if it always was
     */
    public synchronized KeyDecision begin(
            IdempotencyKey key, long fingerprint, long homeSinceMillis, long nowMillis) {
        return begin(key, fingerprint, homeSinceMillis, nowMillis, mLimits.newOwnerPolicy());
    }

    /** Decides on a submission as the other form does, with a policy for this one submission. */
    public synchronized KeyDecision begin(
            IdempotencyKey key,
            long fingerprint,
            long homeSinceMillis,
            long nowMillis,
            KeyLimits.NewOwnerPolicy newHomePolicy) {
        advance(nowMillis);
        Entry known = mEntries.get(key);
        if (known != null) {
            return decideExisting(known, fingerprint);
        }
        // A fresh guard can't tell a first submission from one that its predecessor ran. Running
        // it would book twice; refusing costs this key's share of traffic for the retention.
        long knowsFromMillis =
                Math.max(mStartedAtMillis, homeSinceMillis) + mLimits.retentionMillis();
        if (newHomePolicy == KeyLimits.NewOwnerPolicy.REFUSE && mLatestMillis < knowsFromMillis) {
            return new KeyDecision.HistoryUnknown(knowsFromMillis - mLatestMillis);
        }
        if (mEntries.size() >= mLimits.maxKeys()) {
            return new KeyDecision.LedgerFull(millisToOldestExpiry());
        }
        mEntries.put(key, new Entry(key, fingerprint));
        return new KeyDecision.Execute();
    }

    /** Records the answer of the target; the key replays it until the retention has passed. */
    public synchronized void completed(IdempotencyKey key, StoredAnswer answer, long nowMillis) {
        Entry entry = runningEntry(key);
        end(entry, State.COMPLETED, nowMillis);
        entry.mAnswer = answer;
        if (answer.storedBytes() > 0) {
            mStoredBytes += answer.storedBytes();
            mEntriesWithBody.add(entry);
        }
        while (mStoredBytes > mLimits.maxBodyBytes()) {
            dropBody(mEntriesWithBody.remove());
        }
    }

    /** Records that it started and no whole answer came; the key never runs again. */
    public synchronized void outcomeUnknown(IdempotencyKey key, long nowMillis) {
        end(runningEntry(key), State.OUTCOME_UNKNOWN, nowMillis);
    }

    /** Records the proof that it did not run; the next submission of the key may. */
    public synchronized void notRun(IdempotencyKey key) {
        runningEntry(key);
        mEntries.remove(key);
    }

    /** Returns how many keys are remembered. */
    public synchronized int size() {
        return mEntries.size();
    }

    private KeyDecision decideExisting(Entry entry, long fingerprint) {
        if (entry.mFingerprint != fingerprint) {
            return new KeyDecision.Conflict();
        }
        return switch (entry.mState) {
            case RUNNING -> new KeyDecision.InProgress();
            case COMPLETED -> new KeyDecision.Replay(entry.mAnswer);
            case OUTCOME_UNKNOWN -> new KeyDecision.OutcomeUnknown();
        };
    }

    private Entry runningEntry(IdempotencyKey key) {
        Entry entry = mEntries.get(key);
        if (entry == null || entry.mState != State.RUNNING) {
            throw new IllegalStateException("key ended that was not running: " + key);
        }
        return entry;
    }

    private void end(Entry entry, State state, long nowMillis) {
        advance(nowMillis);
        entry.mState = state;
        entry.mEndedAtMillis = mLatestMillis;
        mEndedEntries.add(entry);
    }

    private void advance(long nowMillis) {
        mLatestMillis = Math.max(mLatestMillis, nowMillis);
        while (!mEndedEntries.isEmpty() && expiryMillis(mEndedEntries.peek()) < mLatestMillis) {
            Entry expired = mEndedEntries.remove();
            mEntries.remove(expired.mKey);
            // Both queues are in the order of ending, so an expired body is always the first.
            if (mEntriesWithBody.peek() == expired) {
                dropBody(mEntriesWithBody.remove());
            }
        }
    }

    private void dropBody(Entry entry) {
        mStoredBytes -= entry.mAnswer.storedBytes();
        entry.mAnswer = entry.mAnswer.dropBody();
    }

    private long millisToOldestExpiry() {
        if (mEndedEntries.isEmpty()) {
            return mLimits.retentionMillis();
        }
        return Math.max(1, expiryMillis(mEndedEntries.peek()) - mLatestMillis);
    }

    private long expiryMillis(Entry entry) {
        return entry.mEndedAtMillis + mLimits.retentionMillis();
    }
}
