package org.apricotgauge.target;

import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.stop.StopPolicy;

/**
 * Decides whether a request that starts now ends before this node's process does.
 *
 * <p>A likely end suffices if the request is idempotent and has a further run left, as an entry's
 * {@link HealthGate.TargetRestriction#MAY_TRY} says, and for its last attempt ({@link
 * HealthGate.TargetRestriction#NONE}), which a refusal would fail in any case.
 */
final class StopCheck {
    /**
     * A run is handed to another target this long before the end, in milliseconds; a second run of
     * usual length still ends before an entry that stops at the same time does.
     */
    static final long HAND_OVER_MILLIS = 800;

    /** The outcome of a run that goes on is told this long before the end, in milliseconds. */
    static final long LAST_MOMENT_MILLIS = 100;

    private final GuardContext mContext;
    private final TargetGate mGate;
    private final Ticket mTicket;
    private final RunDeadline mRunDeadline;
    private final boolean mLikelyEndSuffices;

    StopCheck(
            GuardContext context,
            TargetGate gate,
            Ticket ticket,
            RunDeadline runDeadline,
            boolean likelyEndSuffices) {
        mContext = context;
        mGate = gate;
        mTicket = ticket;
        mRunDeadline = runDeadline;
        mLikelyEndSuffices = likelyEndSuffices;
    }

    /** Returns whether the request can end in time; always true while the node does not stop. */
    boolean canEnd() {
        return !mContext.stop().hasBegun()
                || StopPolicy.fits(
                        overdueMillis(),
                        deadlineMillis(),
                        mLikelyEndSuffices,
                        mContext.stop().remainingMillis());
    }

    /** Returns whether a run should be left to another target, which can end it in time. */
    boolean isTimeToHandOver() {
        return mContext.stop().remainingMillis() <= HAND_OVER_MILLIS
                && overdueMillis() <= deadlineMillis();
    }

    private long overdueMillis() {
        return mGate.health()
                .runTimeoutMillis(mTicket.workKind(), mGate.softDeadlineRemainingMillis(mTicket));
    }

    private long deadlineMillis() {
        return mRunDeadline.remainingMillis(mContext.ticker().millis());
    }

    /** Returns whether there is just time to tell the entry that a run goes on. */
    boolean isLastMoment() {
        return mContext.stop().remainingMillis() <= LAST_MOMENT_MILLIS;
    }
}
