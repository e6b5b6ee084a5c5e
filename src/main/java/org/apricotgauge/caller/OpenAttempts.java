package org.apricotgauge.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.decision.attempt.Outcome;
import org.eclipse.jetty.http.HttpStatus;

/**
 * The attempts of one exchange that may still bring an answer.
 *
 * <pre>{@code
 * attempts.begin(first);
 * attempts.trySetAside(first);   // nothing is heard of it
 * attempts.begin(second);        // the first may still answer
 * }</pre>
 *
 * <p>The exchange decides what follows the current attempt. One that was set aside ends by itself,
 * or with the exchange. Used under the lock of its exchange, or by the one thread that has ended
 * it; otherwise not thread-safe.
 */
final class OpenAttempts {
    private final List<TargetAttempt> mAside = new ArrayList<>(0);
    private TargetAttempt mCurrent;
    private boolean mSent;
    private Outcome mHeldOutcome;

    /** Makes an attempt the current one, of which nothing has been sent. */
    void begin(TargetAttempt attempt) {
        mCurrent = attempt;
        mSent = false;
    }

    /** Records that the current attempt is sent now; returns whether this is the current one. */
    boolean trySend(TargetAttempt attempt) {
        if (attempt != mCurrent) {
            return false;
        }
        mSent = true;
        return true;
    }

    boolean isCurrent(TargetAttempt attempt) {
        return attempt == mCurrent;
    }

    /** Returns whether the current attempt, if there is one, may have reached a target. */
    boolean isCurrentSent() {
        return mSent;
    }

    boolean isAside(TargetAttempt attempt) {
        return mAside.contains(attempt);
    }

    boolean hasAside() {
        return !mAside.isEmpty();
    }

    /** Keeps the outcome of the last attempt while others are open; returns whether any are. */
    boolean tryHold(Outcome outcome) {
        if (mAside.isEmpty()) {
            return false;
        }
        mHeldOutcome = outcome;
        return true;
    }

    /** Forgets the outcome: it is told now, or a further attempt is made. */
    void dropHeld() {
        mHeldOutcome = null;
    }

    /**
     * Returns the outcome to tell once no attempt is open; empty while a further one may follow.
     */
    Optional<Outcome> heldOutcome() {
        return Optional.ofNullable(mHeldOutcome);
    }

    /**
     * Removes an attempt whose answer is not passed on yet, since another attempt may bring a
     * better one; returns whether that is so.
     *
     * @param retry whether a further attempt follows
     */
    boolean tryWaitForBetter(TargetAttempt attempt, Outcome.Answered answer, boolean retry) {
        boolean isCurrent = attempt == mCurrent;
        boolean mayImprove = isCurrent ? hasAside() : mHeldOutcome == null || mAside.size() > 1;
        if (!retry && !(mayImprove && HttpStatus.isServerError(answer.status()))) {
            return false;
        }
        return removeCurrent(attempt) || removeAside(attempt);
    }

    /** Leaves the current attempt open beside the next one; returns whether it was the current. */
    boolean trySetAside(TargetAttempt attempt) {
        if (!removeCurrent(attempt)) {
            return false;
        }
        mAside.add(attempt);
        return true;
    }

    /** Removes the current attempt; returns whether this was it. */
    boolean removeCurrent(TargetAttempt attempt) {
        if (attempt == null || attempt != mCurrent) {
            return false;
        }
        mCurrent = null;
        mSent = false;
        return true;
    }

    /** Removes an attempt that was set aside; returns whether it was one. */
    boolean removeAside(TargetAttempt attempt) {
        return mAside.remove(attempt);
    }

    /** Removes and returns all attempts but one; null for all. */
    List<TargetAttempt> removeAllBut(TargetAttempt attempt) {
        List<TargetAttempt> removed = new ArrayList<>(mAside);
        if (mCurrent != null) {
            removed.add(mCurrent);
        }
        removed.remove(attempt);
        mAside.clear();
        mCurrent = null;
        return removed;
    }
}
