package org.apricotgauge.target;

/**
 * Lets another target serve a request whose run hangs, or may not end before this node does.
 *
 * <pre>{@code
 * if (failover.mustEndHung()) {
 *     earlyEnd.end(EarlyEnd.Reason.HUNG);
 * }
 * }</pre>
 *
 * <p>The entry is offered a further attempt beside the run, which goes on: nobody knows whether
 * another target takes the request, nor that this one does not answer. An entry of an earlier
 * release can't run two attempts at a time; for it the run has to be ended.
 */
final class RunFailover {
    private final GuardMetrics mMetrics;
    private final RetryPrepayment mPrepayment;
    private final StopCheck mStopCheck;
    private final AcknowledgementSender mAcknowledgements;
    private final RunEventLog mLog;
    private final boolean mRunsBeside;

    /** Why a further attempt is offered. */
    enum Cause {
        /** The run is taken for hung. */
        HUNG,
        /** This node ends soon. */
        NODE_ENDING
    }

    /**
     * Creates the failover of one run.
     *
     * @param runsBeside whether the entry can start a further attempt while this one goes on
     */
    RunFailover(
            GuardMetrics metrics,
            RetryPrepayment prepayment,
            StopCheck stopCheck,
            AcknowledgementSender acknowledgements,
            RunEventLog log,
            boolean runsBeside) {
        mMetrics = metrics;
        mPrepayment = prepayment;
        mStopCheck = stopCheck;
        mAcknowledgements = acknowledgements;
        mLog = log;
        mRunsBeside = runsBeside;
    }

    /** Pays for a retry of a hung run, if that is possible; returns whether the run must end. */
    boolean mustEndHung() {
        if (!mPrepayment.tryPayEarly()) {
            return false;
        }
        mMetrics.hung().inc();
        return !offersBeside(Cause.HUNG);
    }

    /**
     * Pays for a retry of a run shortly before this node ends, if that is possible; returns whether
     * the run must end.
     */
    boolean mustHandOver() {
        if (!mStopCheck.isTimeToHandOver() || !mPrepayment.tryPayForFailed()) {
            return false;
        }
        mMetrics.stopHandedOver().inc();
        return !offersBeside(Cause.NODE_ENDING);
    }

    private boolean offersBeside(Cause cause) {
        if (!mRunsBeside) {
            return false;
        }
        // Nothing is sent once the answer has begun, which then tells of the payment if it fails.
        if (mAcknowledgements.tell(mPrepayment::tryTell)) {
            mMetrics.attemptsOffered().inc();
            mLog.furtherAttemptOffered(cause);
        }
        return true;
    }
}
