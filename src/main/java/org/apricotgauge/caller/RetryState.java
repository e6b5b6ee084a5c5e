package org.apricotgauge.caller;

import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.GuardClockEstimate;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.decision.attempt.RetryDecision;
import org.apricotgauge.decision.attempt.SubmissionProgress;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.http.ReplayableBody;

/**
 * What the attempts of one exchange have come to, and whether a further one may follow.
 *
 * <pre>{@code
 * RetryDecision decision = state.afterAttempt(outcome);
 * }</pre>
 *
 * <p>Thread-safe; calls nothing back.
 */
final class RetryState {
    private final EntryContext mContext;
    private final CallerRequest mCallerRequest;
    private final RetryBudget mBudget;
    private final ExchangeDeadline mDeadline;
    private final ReplayableBody mBody;
    private final RetryPrepayment mPrepayment = new RetryPrepayment();
    private final OwnerAttempts mOwnerAttempts;
    private SubmissionProgress mProgress;
    private boolean mReachedTarget;

    /**
     * Creates the state before the first attempt.
     *
     * @param budget the entry's budget of retries of the service
     */
    RetryState(
            EntryContext context,
            CallerRequest callerRequest,
            RetryBudget budget,
            ExchangeDeadline deadline,
            ReplayableBody body) {
        mContext = context;
        mCallerRequest = callerRequest;
        mBudget = budget;
        mDeadline = deadline;
        mBody = body;
        mOwnerAttempts = new OwnerAttempts(context);
        mProgress = SubmissionProgress.of(callerRequest.idempotent(), false);
    }

    /** Makes all attempts go to the owner of the request's key; to be called before the first. */
    synchronized void useKey() {
        mProgress = SubmissionProgress.of(mCallerRequest.idempotent(), true);
    }

    synchronized SubmissionProgress progress() {
        return mProgress;
    }

    /** Returns whether an earlier attempt reached a target. */
    synchronized boolean isRetry() {
        return mReachedTarget;
    }

    /** Returns whether the guard of the previous run has prepaid this retry. */
    synchronized boolean isRetryPrepaid() {
        return mPrepayment.isPrepaid();
    }

    /** Records that the guard of the current attempt has paid for the next run. */
    synchronized void onNextPrepaid() {
        mPrepayment.onNextPrepaid();
    }

    /** Returns the target restriction of the next attempt. */
    synchronized HealthGate.TargetRestriction targetRestriction() {
        return mContext.retryPolicy().targetRestriction(mProgress, maxRuns());
    }

    /** Returns how many targets may run the request. */
    int maxRuns() {
        return mCallerRequest.route().maxRunsOr(mContext.retryPolicy().maxAttempts());
    }

    /** Records the outcome of the current attempt and decides what follows. */
    synchronized RetryDecision afterAttempt(Outcome outcome) {
        mProgress = mProgress.after(outcome);
        recordReached(FinalOutcomes.reachedTarget(outcome));
        return decide();
    }

    /**
     * Records an answer to the current attempt and returns whether another one follows.
     *
     * @param mayRetry whether one may follow at all
     */
    synchronized boolean retriesAfter(Outcome.Answered outcome, boolean mayRetry) {
        mProgress = mProgress.after(outcome);
        boolean retry = mayRetry && !(decide() instanceof RetryDecision.Finish);
        recordReached(true);
        if (retry) {
            mContext.metrics().retries().inc();
        }
        return retry;
    }

    /** Records the outcome of an attempt beside which another one was made. */
    synchronized void afterEarlier(Outcome outcome) {
        mProgress = mProgress.withEarlier(outcome);
    }

    private void recordReached(boolean reachedTarget) {
        mReachedTarget |= reachedTarget;
        mPrepayment.onAttemptEnded(reachedTarget);
    }

    /** Begins a new series of attempts, after a pause. */
    synchronized void startOver() {
        mProgress = mProgress.afterPause();
    }

    /** Returns whether another attempt may follow the last one that has ended; charges it. */
    synchronized boolean mayRetry() {
        return decide() instanceof RetryDecision.Retry;
    }

    /**
     * Returns the body for the next attempt. One that can't be sent again, as an attempt that is
     * open may have found out meanwhile, can't be read.
     *
     * @param beside whether an earlier attempt is open, and reads on
     */
    org.eclipse.jetty.client.Request.Content openBody(boolean beside) {
        return beside || !mBody.canReplay() ? mBody.openBeside() : mBody.open();
    }

    /** Sets whether the next run is paid for, after a wait. */
    synchronized void setPrepaid(boolean prepaid) {
        mPrepayment.set(prepaid);
    }

    /** Returns the next attempt at the owner of the request's key. */
    synchronized Attempt newOwnerAttempt(GuardClockEstimate ownerClock) {
        return mOwnerAttempts.next(mProgress.mayHaveRun(), ownerClock, mDeadline.millis());
    }

    /** Returns whether an attempt fits the time that a stopping guard has left. */
    boolean fitsGuardStop(long stopMillis) {
        return mDeadline.fitsGuardStop(stopMillis, mBody.canReplay());
    }

    private RetryDecision decide() {
        boolean canReplay = mBody.canReplay();
        // An attempt that reached no target caused no load. If it were charged to the budget, the
        // loss of one VM would cause refusals while the other targets idle.
        boolean free = !FinalOutcomes.reachedTarget(mProgress.lastOutcome());
        return mContext.retryPolicy()
                .decide(
                        mProgress,
                        mDeadline.remainingMillis(),
                        maxRuns(),
                        () -> canReplay && (free || mBudget.tryRetry(mContext.ticker().millis())));
    }
}
