package org.apricotgauge.target;

import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.model.Target;
import org.apricotgauge.stop.StopSchedule;

/** Logs what happens to one run between its first byte and its end. */
final class RunEventLog {
    private final GuardContext mContext;
    private final RunIdentity mIdentity;
    private final Target mTarget;
    private final Attempt mAttempt;
    private final RunTimes mTimes;

    RunEventLog(
            GuardContext context,
            RunIdentity identity,
            Target target,
            Attempt attempt,
            RunTimes times) {
        mContext = context;
        mIdentity = identity;
        mTarget = target;
        mAttempt = attempt;
        mTimes = times;
    }

    /** Logs that the run was ended early, unless nothing was sent to the target. */
    void endedEarly(Enum<?> reason) {
        if (mTimes.hasStarted()) {
            mContext.log().endedEarly(toEvent(reason));
        }
    }

    /** Logs that the entry was offered a further attempt beside the run. */
    void furtherAttemptOffered(Enum<?> cause) {
        mContext.log().furtherAttemptOffered(toEvent(cause));
    }

    private TargetRunLog.RunEvent toEvent(Enum<?> reason) {
        StopSchedule stop = mContext.stop();
        return new TargetRunLog.RunEvent(
                mIdentity.id(),
                mTarget.id(),
                mAttempt.toString(),
                reason.name(),
                mTimes.serviceMillis(),
                stop.hasBegun() ? stop.remainingMillis() : null);
    }
}
