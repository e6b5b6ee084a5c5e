package org.apricotgauge.caller;

import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.GuardClockEstimate;

/**
 * Successive attempts of one exchange at the owner of its key. Used under a lock; otherwise not
 * thread-safe.
 */
final class OwnerAttempts {
    private final EntryContext mContext;
    private Attempt mLast;

    OwnerAttempts(EntryContext context) {
        mContext = context;
    }

    /**
     * Returns the next attempt. If an earlier one may have run, its incarnation and latest start
     * are kept; else an owner that lost the key could run it again.
     */
    Attempt next(boolean mayHaveRun, GuardClockEstimate ownerClock, long deadlineMillis) {
        mLast =
                mayHaveRun
                        ? mLast.withId(mContext.attemptIds().next())
                        : ownerClock.newAttempt(
                                mContext.attemptIds().next(),
                                mContext.ticker().millis(),
                                deadlineMillis);
        return mLast;
    }
}
