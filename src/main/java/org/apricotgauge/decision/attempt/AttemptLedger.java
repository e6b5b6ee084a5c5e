package org.apricotgauge.decision.attempt;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.apricotgauge.model.Checks;

/**
 * A guard's memory of attempts: which may still start, which did, which never will.
 *
 * <pre>{@code
 * if (ledger.admit(attempt, now) == Arrival.ADMITTED) {
 *     // wait for a slot, connect to the target, then:
 *     if (ledger.started(attempt)) {
 *         // write the first byte; later completed(...) or broken(...)
 *     }
 * }
 * }</pre>
 *
 * <p>Every admitted attempt must end in exactly one of {@link #withdraw}, {@link #completed} and
 * {@link #broken}, also when a fence came in between. Times are readings of the guard's own
 * monotonic clock. One lock, held for a few hash and heap steps; safe to share between threads.
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

    // An entry dropped for lack of room leaves this trace: whatever is not in the table and starts
    // no later may be the one dropped. Without it a fence would call a completed attempt "not run".
    private long mForgottenUpToMillis = Long.MIN_VALUE;

    /**
     * Takes the run of the guard and the bounds.
     *
     * @param incarnation drawn anew, at random, by each start of the process
     */
    public AttemptLedger(long incarnation, AttemptLimits limits) {
        mIncarnation = incarnation;
        mLimits = Checks.notNull("limits", limits);
    }

    /** Returns what the guard tells entries with each answer. */
    public GuardStamp stamp(long nowMillis) {
        return new GuardStamp(mIncarnation, nowMillis);
    }

    /**
     * Decides on an attempt that arrives; only {@link AttemptAdmission#ADMITTED} may go further.
     */
    public synchronized AttemptAdmission admit(Attempt attempt, long nowMillis) {
        // A restarted guard remembers no fence that its predecessor promised; an attempt that was
        // held up on the way would run after its caller was told "not run".
        if (attempt.guardIncarnation() != mIncarnation) {
            return AttemptAdmission.OTHER_INCARNATION;
        }
        advance(nowMillis);
        Entry known = mEntries.get(attempt);
        if (known != null) {
            return known.mState == State.FENCED
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
     * Decides on an attempt that is remembered elsewhere, by its key: only its run and time count.
     *
     * <p>Unlike {@link #admit} it leaves no trace and does not tell copies apart.
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
     * Asks whether the first byte may go to the target; call it just before that byte is written.
     *
     * @return false if the attempt was fenced or withdrawn in the meantime: write nothing then
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
     * Gives up an admitted attempt before its first byte: refused by the queue, cancelled, or the
     * target can't be reached.
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

    /** Records that a started attempt ended without a whole answer of the target. */
    public synchronized void broken(Attempt attempt, long nowMillis) {
        advance(nowMillis);
        end(startedEntry(attempt), State.BROKEN);
    }

    /**
     * Stops an attempt that has not started, for good, and tells how far it came.
     *
     * <p>"Not run" is answered only if the attempt is not in the table, can't have been dropped
     * from it, and is refused from now on; or if it is in the table and had not started.
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

    /** Returns how many attempts are remembered, under way and ended. */
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
            throw new IllegalStateException("attempt ended that had not started: " + attempt);
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
            Entry dropped = mEndedEntries.remove();
            mEntries.remove(dropped.mAttempt);
            mForgottenUpToMillis = Math.max(mForgottenUpToMillis, dropped.latestStartMillis());
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
