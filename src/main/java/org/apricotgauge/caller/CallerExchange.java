package org.apricotgauge.caller;

import java.util.Optional;
import java.util.function.Supplier;
import org.apricotgauge.decision.admission.QueueingPolicy;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.GuardClockEstimate;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.decision.attempt.RetryDecision;
import org.apricotgauge.decision.attempt.SubmissionProgress;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.decision.routing.ServiceTable;
import org.apricotgauge.http.DisconnectDetectingEndPoint;
import org.apricotgauge.http.Fingerprints;
import org.apricotgauge.http.ReplayableBody;
import org.apricotgauge.http.client.UpstreamResponse;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles one caller's request up to its final answer, with as many attempts as are safe.
 *
 * <p>At most one attempt is in flight at a time. The deadline ends the exchange at once, whatever
 * the attempt is doing. Each exchange has one lock, which is held briefly and never during I/O.
 */
final class CallerExchange {
    /** Bodies up to this size can be resent; larger ones are streamed and sent once. */
    static final int MAX_REPLAYABLE_BYTES = 65_536;

    private final EntryContext mContext;
    private final ServiceTable mTable;
    private final RetryBudget mBudget;
    private final Optional<String> mParentId;
    private final ExchangeReporter mReporter;
    private final CallerRequest mCallerRequest;
    private final Request mRequest;
    private final Callback mCallback;
    private final AnswerDelivery mDelivery;
    private final ReplayableBody mBody;
    private final QuarantineCheck mQuarantine;
    private final ExchangeDeadline mDeadline;
    private final TargetSelector mSelector;
    private SubmissionProgress mProgress;
    private Candidate mOwner;
    private volatile boolean mUsesPredecessor;
    private TargetAttempt mCurrentAttempt;
    private boolean mCurrentAttemptBegun;
    private boolean mReachedTarget;
    private final RetryPrepayment mPrepayment = new RetryPrepayment();
    private final ExchangePauses mPauses = new ExchangePauses(this);
    private final RetryWait mRetryWait;
    private final OwnerAttempts mOwnerAttempts;
    private boolean mEnded;

    CallerExchange(
            EntryContext context,
            ServiceTable table,
            Supplier<ServiceTable> currentTable,
            long version,
            RetryBudget budget,
            CallerRequest callerRequest,
            Request request,
            Response response,
            Callback callback) {
        mContext = context;
        mTable = table;
        mParentId =
                NestedCallPolicy.parentId(
                        context.dialect(), request.getHeaders(), context.observer()::isRunning);
        mReporter =
                new ExchangeReporter(
                        context, callerRequest, table.service().id(), version, request, mParentId);
        mBudget = budget;
        mCallerRequest = callerRequest;
        mRequest = request;
        mBody = context.largeBodies().bodyOf(request);
        mCallback = Callback.from(callback, () -> context.exchanges().remove(this));
        mDelivery = new AnswerDelivery(context, mReporter, request, response, mCallback);
        mQuarantine =
                new QuarantineCheck(
                        context.quarantine(),
                        () -> Fingerprints.headHash(request, callerRequest.memberId()),
                        Fingerprints.hasBody(request),
                        mBody);
        mDeadline = new ExchangeDeadline(context, callerRequest);
        mSelector =
                new TargetSelector(
                        context, currentTable, callerRequest.idempotent(), this::fitsGuardStop);
        mOwnerAttempts = new OwnerAttempts(context);
        mRetryWait = new RetryWait(this, table.service());
        mProgress = SubmissionProgress.of(callerRequest.idempotent(), false);
    }

    /** Starts at the owner of the request's key, and tries no other node. */
    void startAtOwner(Candidate owner) {
        mOwner = owner;
        mProgress = SubmissionProgress.of(mCallerRequest.idempotent(), true);
        start();
    }

    void start() {
        mUsesPredecessor =
                mOwner == null
                        && PredecessorShare.covers(mTable.service(), mCallerRequest, mRequest);
        if (mUsesPredecessor) {
            mContext.metrics().predecessorRequests().inc();
        } else {
            mBudget.onRequest(mContext.ticker().millis());
        }
        mDeadline.start(() -> end(new Outcome.NotRun(NotRunReason.DEADLINE_PASSED, 0)));
        mRequest.addFailureListener(this::onCallerDisconnected);
        DisconnectDetectingEndPoint.watch(
                mRequest,
                () -> onCallerDisconnected(DisconnectDetectingEndPoint.newDisconnectException()));
        mQuarantine.whenIdentified(this::startNextAttempt);
    }

    EntryContext context() {
        return mContext;
    }

    CallerRequest callerRequest() {
        return mCallerRequest;
    }

    Request request() {
        return mRequest;
    }

    ReplayableBody body() {
        return mBody;
    }

    QuarantineCheck quarantine() {
        return mQuarantine;
    }

    /** Returns the wait of this request for a retry. */
    RetryWait retryWait() {
        return mRetryWait;
    }

    void recordStep(String step) {
        mReporter.recordStep(step);
    }

    boolean hasEnded() {
        synchronized (this) {
            return mEnded;
        }
    }

    /** Returns when this exchange ends at the latest. */
    ExchangeDeadline deadline() {
        return mDeadline;
    }

    /** Returns the id of the request that this nested call is for; empty for a caller's. */
    Optional<String> parentId() {
        return mParentId;
    }

    /** Returns whether an attempt fits the time that a stopping guard has left. */
    boolean fitsGuardStop(long stopMillis) {
        return mDeadline.fitsGuardStop(stopMillis, mBody.canReplay());
    }

    /** Returns whether an earlier attempt reached a target. */
    boolean isRetry() {
        synchronized (this) {
            return mReachedTarget;
        }
    }

    /** Records that the guard of the current attempt has prepaid a retry from its budget. */
    void onRetryPrepaid(TargetAttempt attempt) {
        synchronized (this) {
            if (attempt == mCurrentAttempt) {
                mPrepayment.onNextPrepaid();
            }
        }
    }

    /** Returns whether the guard of the previous run has prepaid this retry. */
    boolean isRetryPrepaid() {
        synchronized (this) {
            return mPrepayment.isPrepaid();
        }
    }

    /** Returns the target restriction of the current attempt. */
    HealthGate.TargetRestriction targetRestriction() {
        synchronized (this) {
            return mSelector.isLastResort()
                    ? HealthGate.TargetRestriction.NONE
                    : mContext.retryPolicy().targetRestriction(mProgress, maxRuns());
        }
    }

    /** Returns whether the current attempt may wait for a slot. */
    QueueingPolicy queueingPolicy() {
        return mSelector.queueingPolicy();
    }

    private int maxRuns() {
        return mCallerRequest.route().maxRunsOr(mContext.retryPolicy().maxAttempts());
    }

    /** Returns the next attempt at the key's owner. */
    Attempt newOwnerAttempt(GuardClockEstimate ownerClock, long deadlineMillis) {
        synchronized (this) {
            return mOwnerAttempts.next(mProgress.mayHaveRun(), ownerClock, deadlineMillis);
        }
    }

    /**
     * Refuses this request, which has not run, if it doesn't fit the stop. A nested call is not
     * refused: the run that makes it is in flight, and would fail with it.
     */
    boolean refuseByStop() {
        if (mParentId.isPresent() || mDeadline.fitsOwnStop()) {
            return false;
        }
        mContext.metrics().stopRefused().inc();
        finish(FinalOutcomes.leaving());
        return true;
    }

    private void startNextAttempt() {
        // "Not run" is true only of a request that can't have run.
        if (!progress().mayHaveRun() && refuseByStop()) {
            return;
        }
        if (mQuarantine.remainingQuarantineMillis() > 0) {
            finishQuarantined();
            return;
        }
        if (mOwner != null) {
            send(new KeyedAttempt(this, mOwner, mCallerRequest.key().orElseThrow()));
            return;
        }
        if (mUsesPredecessor) {
            send(new PredecessorAttempt(this, mTable.service().predecessor()));
            return;
        }
        Optional<Candidate> choice = mSelector.next(mProgress.lastOutcome());
        if (choice.isEmpty()) {
            pauseOrFinish(FinalOutcomes.withoutTarget(progress()));
            return;
        }
        Candidate candidate = choice.get();
        mReporter.recordSend(candidate, targetRestriction().name(), queueingPolicy());
        boolean sendDirect =
                mContext.targetAccess() == EntryOptions.TargetAccess.GUARD_OR_DIRECT
                        && !mContext.hasReachableGuard(candidate);
        send(sendDirect ? new DirectAttempt(this, candidate) : new GuardedAttempt(this, candidate));
    }

    private void send(TargetAttempt attempt) {
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mCurrentAttempt = attempt;
            mCurrentAttemptBegun = false;
        }
        attempt.send();
    }

    /**
     * Called before an attempt's first byte; false means to write nothing. The lock orders it with
     * the deadline: either the outcome is "not run" and no byte follows, or it is "unknown".
     */
    boolean tryBegin(TargetAttempt attempt) {
        synchronized (this) {
            if (mEnded || attempt != mCurrentAttempt) {
                return false;
            }
            mCurrentAttemptBegun = true;
            return true;
        }
    }

    private void finishQuarantined() {
        mContext.metrics().quarantined().inc();
        finish(FinalOutcomes.quarantined(progress(), mQuarantine.remainingQuarantineMillis()));
    }

    private SubmissionProgress progress() {
        synchronized (this) {
            return mProgress;
        }
    }

    /**
     * Handles an attempt at the predecessor that ended without an answer.
     *
     * @param notSent whether no byte of the request was written
     */
    void onPredecessorFailed(TargetAttempt attempt, boolean notSent) {
        boolean fleetServes = notSent && mCallerRequest.idempotent() && mBody.canReplay();
        synchronized (this) {
            if (mEnded || attempt != mCurrentAttempt) {
                return;
            }
            mCurrentAttempt = null;
            mUsesPredecessor = !fleetServes;
        }
        if (fleetServes) {
            mContext.metrics().predecessorFallbacks().inc();
            mBudget.onRequest(mContext.ticker().millis());
            startNextAttempt();
            return;
        }
        // The predecessor may have run a booking for an earlier submission; run by the fleet, it
        // would be booked twice. "Not run" is proven for this submission only.
        finish(FinalOutcomes.withoutPredecessor(notSent));
    }

    /** Handles an attempt that ended without an answer of the target. */
    void onAttemptEnded(TargetAttempt attempt, Outcome outcome) {
        RetryDecision decision;
        synchronized (this) {
            if (mEnded || attempt != mCurrentAttempt) {
                return;
            }
            mCurrentAttempt = null;
            mProgress = mProgress.after(outcome);
            mReachedTarget |= FinalOutcomes.reachedTarget(outcome);
            mPrepayment.onAttemptEnded(FinalOutcomes.reachedTarget(outcome));
            mReporter.recordEndedAttempt(outcome);
            decision = decide();
        }
        if (tryWait(true)) {
            return;
        }
        if (decision instanceof RetryDecision.Finish finish) {
            pauseOrFinish(finish.outcome());
            return;
        }
        mContext.metrics().retries().inc();
        startNextAttempt();
    }

    private void pauseOrFinish(Outcome outcome) {
        if (tryWait(false)) {
            return;
        }
        synchronized (this) {
            if (canStartOver() && mPauses.tryPause(mProgress, maxRuns(), this::startNextAttempt)) {
                startOver();
                return;
            }
        }
        finish(mRetryWait.withReturnTime(outcome));
    }

    private boolean tryWait(boolean hasTarget) {
        return canStartOver()
                && mRetryWait.tryWait(progress(), isRetryPrepaid(), maxRuns(), hasTarget);
    }

    private boolean canStartOver() {
        return mOwner == null && !mDelivery.hasKept() && mBody.canReplay();
    }

    private void startOver() {
        mProgress = mProgress.afterPause();
        mSelector.startOver();
    }

    /** Sends a request that waited for a retry; does nothing if it has ended. */
    void resume(boolean prepaid) {
        synchronized (this) {
            startOver();
            mPrepayment.set(prepaid);
        }
        startNextAttempt();
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

    /** Handles the head of a target's answer: forwards the answer or tries another target. */
    void onAnswer(TargetAttempt attempt, UpstreamResponse answer, Content.Source body) {
        Outcome.Answered outcome = new Outcome.Answered(answer.status());
        boolean retry;
        synchronized (this) {
            if (mEnded || attempt != mCurrentAttempt) {
                body.fail(new IllegalStateException("the exchange has ended already"));
                return;
            }
            mProgress = mProgress.after(outcome);
            mReporter.recordAnswer(outcome);
            // Only the predecessor retries what it serves; with both, retries would multiply.
            retry = !mUsesPredecessor && !(decide() instanceof RetryDecision.Finish);
            mReachedTarget = true;
            mPrepayment.onAttemptEnded(true);
            if (retry) {
                mCurrentAttempt = null;
            } else {
                mEnded = true;
            }
        }
        if (retry) {
            attempt.end();
            mContext.metrics().retries().inc();
            mDelivery.keep(answer, body, this::startNextAttempt);
            return;
        }
        forwardAnswer(attempt, answer, body);
    }

    private void forwardAnswer(
            TargetAttempt attempt, UpstreamResponse answer, Content.Source body) {
        mDeadline.cancel();
        DisconnectDetectingEndPoint.unwatch(mRequest);
        mDelivery.forward(attempt, answer, body);
    }

    /** Ends this exchange because its node ends; an answer whose head has been sent continues. */
    void endAsLeaving() {
        if (end(FinalOutcomes.leaving())) {
            mContext.metrics().stopEnded().inc();
        }
    }

    /** Ends with "unknown", or with the outcome if no attempt can have run. */
    private boolean end(Outcome ifNotRun) {
        TargetAttempt attempt;
        boolean mayHaveRun;
        synchronized (this) {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            attempt = mCurrentAttempt;
            mayHaveRun = mProgress.mayHaveRun() || (attempt != null && mCurrentAttemptBegun);
        }
        deliver(mayHaveRun ? new Outcome.Unknown(UnknownReason.STARTED) : ifNotRun);
        if (attempt != null) {
            attempt.abandon();
        }
        return true;
    }

    private void onCallerDisconnected(Throwable cause) {
        TargetAttempt attempt;
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            attempt = mCurrentAttempt;
        }
        mDeadline.cancel();
        if (attempt != null) {
            attempt.abandon();
        }
        mCallback.failed(cause);
    }

    /** Writes the outcome or a buffered answer, unless ended; may replace {@link #start}. */
    void finish(Outcome outcome) {
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mEnded = true;
        }
        deliver(outcome);
    }

    private void deliver(Outcome outcome) {
        mDeadline.cancel();
        DisconnectDetectingEndPoint.unwatch(mRequest);
        mDelivery.writeKeptOr(outcome);
    }
}
