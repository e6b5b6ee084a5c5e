package org.apricotgauge.decision.attempt;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.apricotgauge.model.Checks;

/**
 * Tracks the state of each attempt at a guard: whether it may start, has started, or never will.
 *
 * <pre>{@code
 * if (ledger.admit(attempt, now) == AttemptAdmission.ADMITTED) {
 *     // wait for a slot, connect to the target, then:
 *     if (ledger.started(attempt)) {
 *         // write the first byte; later completed(...) or broken(...)
 *     }
 * }
 * }</pre>
 *
 * <p>Every admitted attempt must end in exactly one of {@link #withdraw}, {@link #completed} and
 * {@link #broken}, even if it was fenced in between. Times are readings of the guard's own
 * monotonic clock. Thread-safe; one lock is held for a few hash and heap operations.
 */
public final class AttemptLedger {

    private enum State {
        ADMITTED,
        STARTED,
        FENCED,
        COMPLETED,
        BROKEN
    }

    private static final class Entry {
        private final Attempt mAttempt;
        private State mState = State.ADMITTED;
        private int mStatus;

        private Entry(Attempt attempt) {
            mAttempt = attempt;
        }

        private long latestStartMillis() {
            return mAttempt.latestStartMillis();
        }
    }

    private final long mIncarnation;
    private final AttemptLimits mLimits;
    private final Map<Attempt, Entry> mEntries = new HashMap<>();
    private final PriorityQueue<Entry> mEndedEntries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::latestStartMillis));
    private int mInFlight;
    private long mLatestMillis = Long.MIN_VALUE;

    // Greatest latest start of any entry evicted for lack of space. An attempt that is not in the
    // table and starts no later may be an evicted one; without this bound a fence would report a
    // completed attempt as "not run".
    private long mForgottenUpToMillis = Long.MIN_VALUE;

    /**
     * Creates the ledger of one guard process.
     *
     * @param incarnation random number drawn anew at each start of the process
     */
    public AttemptLedger(long incarnation, AttemptLimits limits) {
        mIncarnation = incarnation;
        mLimits = Checks.notNull("limits", limits);
    }

    /** Returns the stamp that the guard sends with each answer. */
    public GuardStamp stamp(long nowMillis) {
        return new GuardStamp(mIncarnation, nowMillis);
    }

    /** Decides on an attempt that arrives; only {@link AttemptAdmission#ADMITTED} may proceed. */
    public synchronized AttemptAdmission admit(Attempt attempt, long nowMillis) {
        // A restarted guard does not know the fences that its earlier incarnation acknowledged; an
        // attempt delayed in transit would run after its caller had received "not run".
        if (attempt.guardIncarnation() != mIncarnation) {
            return AttemptAdmission.OTHER_INCARNATION;
        }
        advance(nowMillis);
        Entry existing = mEntries.get(attempt);
        if (existing != null) {
            return existing.mState == State.FENCED
                    ? AttemptAdmission.FENCED
                    : AttemptAdmission.DUPLICATE;
        }
        if (mayHaveForgotten(attempt)) {
            return AttemptAdmission.FORGOTTEN;
        }
        if (attempt.latestStartMillis() < mLatestMillis) {
            return AttemptAdmission.EXPIRED;
        }
        if (isTooFarAhead(attempt)) {
            return AttemptAdmission.TOO_FAR_AHEAD;
        }
        if (mInFlight >= mLimits.maxInFlight()) {
            addFenced(attempt);
            return AttemptAdmission.FULL;
        }
        mEntries.put(attempt, new Entry(attempt));
        mInFlight++;
        return AttemptAdmission.ADMITTED;
    }

    /**
     * Decides on an attempt that is tracked elsewhere by its key, from incarnation and time only.
     *
     * <p>Unlike {@link #admit}, records nothing and does not detect duplicates.
     */
    public synchronized AttemptAdmission check(Attempt attempt, long nowMillis) {
        if (attempt.guardIncarnation() != mIncarnation) {
            return AttemptAdmission.OTHER_INCARNATION;
        }
        advance(nowMillis);
        if (attempt.latestStartMillis() < mLatestMillis) {
            return AttemptAdmission.EXPIRED;
        }
        return isTooFarAhead(attempt) ? AttemptAdmission.TOO_FAR_AHEAD : AttemptAdmission.ADMITTED;
    }

    /**
     * Marks an attempt as started; must be called just before its first byte is written.
     *
     * @return false if the attempt was fenced or withdrawn in the meantime: nothing may be written
     */
    public synchronized boolean started(Attempt attempt) {
        Entry entry = mEntries.get(attempt);
        if (entry == null || entry.mState != State.ADMITTED) {
            return false;
        }
        entry.mState = State.STARTED;
        return true;
    }

    /**
     * Ends an admitted attempt before its first byte, because the queue rejected it, it was
     * cancelled, or the target is unreachable.
     *
     * @return true if this proves that it did not run; false if it had started
     */
    public synchronized boolean withdraw(Attempt attempt, long nowMillis) {
        advance(nowMillis);
        Entry entry = mEntries.get(attempt);
        if (entry == null) {
            return false;
        }
        if (entry.mState == State.ADMITTED) {
            end(entry, State.FENCED);
        }
        return entry.mState == State.FENCED;
    }

    /** Records that the target answered a started attempt. */
    public synchronized void completed(Attempt attempt, int status, long nowMillis) {
        advance(nowMillis);
        Entry entry = startedEntry(attempt);
        entry.mStatus = status;
        end(entry, State.COMPLETED);
    }

    /** Records that a started attempt ended without a complete answer from the target. */
    public synchronized void broken(Attempt attempt, long nowMillis) {
        advance(nowMillis);
        end(startedEntry(attempt), State.BROKEN);
    }

    /**
     * Prevents an attempt that has not started from ever starting, and returns its state.
     *
     * <p>Returns "not run" only if the attempt is in the table and had not started, or if it is not
     * in the table, cannot have been evicted from it, and is refused from now on.
     */
    public synchronized FenceAnswer fence(Attempt attempt, long nowMillis) {
        if (attempt.guardIncarnation() != mIncarnation) {
            return FenceAnswer.FORGOTTEN;
        }
        advance(nowMillis);
        Entry entry = mEntries.get(attempt);
        if (entry != null) {
            return fenceExisting(entry);
        }
        if (mayHaveForgotten(attempt) || isTooFarAhead(attempt)) {
            return FenceAnswer.FORGOTTEN;
        }
        addFenced(attempt);
        return FenceAnswer.NOT_RUN;
    }

    /** Returns the number of attempts in the table, in flight and ended. */
    public synchronized int size() {
        return mEntries.size();
    }

    private FenceAnswer fenceExisting(Entry entry) {
        return switch (entry.mState) {
            case ADMITTED -> {
                end(entry, State.FENCED);
                yield FenceAnswer.NOT_RUN;
            }
            case FENCED -> FenceAnswer.NOT_RUN;
            case STARTED, BROKEN -> FenceAnswer.STARTED;
            case COMPLETED -> new FenceAnswer(FenceAnswer.State.COMPLETED, entry.mStatus);
        };
    }

    private Entry startedEntry(Attempt attempt) {
        Entry entry = mEntries.get(attempt);
        if (entry == null || entry.mState != State.STARTED) {
            throw new IllegalStateException("attempt ended without having started: " + attempt);
        }
        return entry;
    }

    private void addFenced(Attempt attempt) {
        Entry entry = new Entry(attempt);
        mEntries.put(attempt, entry);
        mInFlight++;
        end(entry, State.FENCED);
    }

    private void end(Entry entry, State state) {
        entry.mState = state;
        mInFlight--;
        mEndedEntries.add(entry);
        while (mEndedEntries.size() > mLimits.maxEnded()) {
            Entry evicted = mEndedEntries.remove();
            mEntries.remove(evicted.mAttempt);
            mForgottenUpToMillis = Math.max(mForgottenUpToMillis, evicted.latestStartMillis());
        }
    }

    private void advance(long nowMillis) {
        mLatestMillis = Math.max(mLatestMillis, nowMillis);
        while (!mEndedEntries.isEmpty() && isPastGracePeriod(mEndedEntries.peek().mAttempt)) {
            mEntries.remove(mEndedEntries.remove().mAttempt);
        }
    }

    private boolean mayHaveForgotten(Attempt attempt) {
        return attempt.latestStartMillis() <= mForgottenUpToMillis || isPastGracePeriod(attempt);
    }

    private boolean isPastGracePeriod(Attempt attempt) {
        return attempt.latestStartMillis() + mLimits.graceMillis() < mLatestMillis;
    }

    private boolean isTooFarAhead(Attempt attempt) {
        return attempt.latestStartMillis() > mLatestMillis + mLimits.maxLifetimeMillis();
    }
}
