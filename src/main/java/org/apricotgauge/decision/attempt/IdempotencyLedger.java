package org.apricotgauge.decision.attempt;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.model.Checks;

/**
 * Tracks the Idempotency-Keys owned by a guard's target, and stores the answers for replay.
 *
 * <pre>{@code
 * KeyDecision decision = ledger.begin(key, fingerprint, ownerSinceMillis, now);
 * if (decision instanceof KeyDecision.Execute) {
 *     // run it, then exactly one of completed(...), outcomeUnknown(...), notRun(...)
 * }
 * }</pre>
 *
 * <p>Guarantee: a key runs at most once from its first submission until the retention after its end
 * has passed, as long as this process lives and all submissions reach it. For restarts and
 * partitions see docs/design/at-most-once.md. Thread-safe; one lock, held briefly.
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

    /**
     * Creates an empty ledger.
     *
     * @param startedAtMillis when the process started to record keys
     */
    public IdempotencyLedger(KeyLimits limits, long startedAtMillis) {
        mLimits = Checks.notNull("limits", limits);
        mStartedAtMillis = startedAtMillis;
        mLatestMillis = startedAtMillis;
    }

    /**
     * Decides on a submission; only one with {@link KeyDecision.Execute} may run.
     *
     * @param fingerprint hash of what identifies the request: method, target URI, length
     * @param ownerSinceMillis when the configuration made this target the key's owner, or any time
     *     before the start of the process if it always was
     */
    public synchronized KeyDecision begin(
            IdempotencyKey key, long fingerprint, long ownerSinceMillis, long nowMillis) {
        return begin(key, fingerprint, ownerSinceMillis, nowMillis, mLimits.newOwnerPolicy());
    }

    /** Decides on a submission with a new-owner policy for this submission only. */
    public synchronized KeyDecision begin(
            IdempotencyKey key,
            long fingerprint,
            long ownerSinceMillis,
            long nowMillis,
            KeyLimits.NewOwnerPolicy newOwnerPolicy) {
        advance(nowMillis);
        Entry existing = mEntries.get(key);
        if (existing != null) {
            return decideExisting(existing, fingerprint);
        }
        // A new owner can't distinguish a first submission from one that an earlier incarnation or
        // the previous owner ran. Running it could execute a booking twice; refusing it only makes
        // the requests with this key fail until the retention has passed.
        long historyKnownFromMillis =
                Math.max(mStartedAtMillis, ownerSinceMillis) + mLimits.retentionMillis();
        if (newOwnerPolicy == KeyLimits.NewOwnerPolicy.REFUSE
                && mLatestMillis < historyKnownFromMillis) {
            return new KeyDecision.HistoryUnknown(historyKnownFromMillis - mLatestMillis);
        }
        if (mEntries.size() >= mLimits.maxKeys()) {
            return new KeyDecision.LedgerFull(millisToOldestExpiry());
        }
        mEntries.put(key, new Entry(key, fingerprint));
        return new KeyDecision.Execute();
    }

    /**
     * Records the target's answer, which is replayed for the key until the retention has passed.
     */
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

    /** Records that the request started without a complete answer; the key does not run again. */
    public synchronized void outcomeUnknown(IdempotencyKey key, long nowMillis) {
        end(runningEntry(key), State.OUTCOME_UNKNOWN, nowMillis);
    }

    /** Records the proof that the request did not run; the key's next submission may run. */
    public synchronized void notRun(IdempotencyKey key) {
        runningEntry(key);
        mEntries.remove(key);
    }

    /** Returns the number of keys in the ledger. */
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
            throw new IllegalStateException("key ended without running: " + key);
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
            // Both queues are ordered by end time, so the body of an expired entry is always first.
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
