package org.apricotgauge.caller;

import java.util.Optional;
import java.util.function.Supplier;
import org.apricotgauge.decision.admission.QueueingPolicy;
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
 * <p>An attempt that is not heard of stays open while a further one is made, since its target may
 * be at work; the first whole answer is the caller's. An outcome of the entry's own is told once no
 * open attempt can answer any more. The deadline ends the exchange at once, whatever the attempts
 * are doing. Each exchange has one lock, which is held briefly and never during I/O.
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
    private final OpenAttempts mAttempts = new OpenAttempts();
    private final RetryState mRetryState;
    private Candidate mOwner;
    private volatile boolean mUsesPredecessor;
    private final ExchangePauses mPauses;
    private final RetryWait mRetryWait;
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
        mRetryState = new RetryState(context, callerRequest, budget, mDeadline, mBody);
        mSelector =
                new TargetSelector(
                        context,
                        currentTable,
                        callerRequest.idempotent(),
                        mRetryState::fitsGuardStop);
        mPauses = new ExchangePauses(this, mRetryState, mSelector);
        mRetryWait = new RetryWait(this, table.service());
    }

    /** Starts at the owner of the request's key, and tries no other node. */
    void startAtOwner(Candidate owner) {
        mOwner = owner;
        mRetryState.useKey();
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

    org.eclipse.jetty.client.Request.Content openBody() {
        return mRetryState.openBody(hasEarlierAttempt());
    }

    /** Returns whether an attempt is open beside the current one. */
    synchronized boolean hasEarlierAttempt() {
        return mAttempts.hasAside();
    }

    QuarantineCheck quarantine() {
        return mQuarantine;
    }

    RetryWait retryWait() {
        return mRetryWait;
    }

    void recordStep(String step) {
        mReporter.recordStep(step);
    }

    synchronized boolean hasEnded() {
        return mEnded;
    }

    /** Returns when this exchange ends at the latest. */
    ExchangeDeadline deadline() {
        return mDeadline;
    }

    /** Returns the id of the request that this nested call is for; empty for a caller's. */
    Optional<String> parentId() {
        return mParentId;
    }

    /** Returns what the attempts have come to so far. */
    RetryState retryState() {
        return mRetryState;
    }

    /** Records that the guard of the current attempt has prepaid a retry from its budget. */
    void onRetryPrepaid(TargetAttempt attempt) {
        synchronized (this) {
            if (mAttempts.isCurrent(attempt)) {
                mRetryState.onNextPrepaid();
            }
        }
    }

    /** Returns the target restriction of the current attempt. */
    HealthGate.TargetRestriction targetRestriction() {
        synchronized (this) {
            return mSelector.isLastResort()
                    ? HealthGate.TargetRestriction.NONE
                    : mRetryState.targetRestriction();
        }
    }

    /** Returns whether the current attempt may wait for a slot. */
    QueueingPolicy queueingPolicy() {
        return mSelector.queueingPolicy();
    }

    /**
     * Refuses this request, which has not run, if it doesn't fit the stop. A nested call is not
     * refused: the run that makes it is in flight, and would fail with it.
     */
    boolean refuseByStop() {
        if (mDeadline.fitsOwnStop(mParentId.isPresent())) {
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
        Optional<Candidate> choice = mSelector.next(progress().lastOutcome());
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
            mAttempts.begin(attempt);
        }
        attempt.send();
    }

    /**
     * Called before an attempt's first byte; false means to write nothing. The lock orders it with
     * the deadline: either the outcome is "not run" and no byte follows, or it is "unknown".
     */
    boolean tryBegin(TargetAttempt attempt) {
        synchronized (this) {
            return !mEnded && mAttempts.trySend(attempt);
        }
    }

    private void finishQuarantined() {
        mContext.metrics().quarantined().inc();
        finish(FinalOutcomes.quarantined(progress(), mQuarantine.remainingQuarantineMillis()));
    }

    private SubmissionProgress progress() {
        return mRetryState.progress();
    }

    /**
     * Handles an attempt at the predecessor that ended without an answer.
     *
     * @param notSent whether no byte of the request was written
     */
    void onPredecessorFailed(TargetAttempt attempt, boolean notSent) {
        boolean fleetServes = notSent && mCallerRequest.idempotent() && mBody.canReplay();
        synchronized (this) {
            if (mEnded || !mAttempts.removeCurrent(attempt)) {
                return;
            }
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
            if (!mEnded && mAttempts.removeAside(attempt)) {
                mReporter.recordStep("earlier attempt: " + outcome);
                mRetryState.afterEarlier(outcome);
                decision = null;
            } else if (!mEnded && mAttempts.removeCurrent(attempt)) {
                mReporter.recordEndedAttempt(outcome);
                decision = mRetryState.afterAttempt(outcome);
            } else {
                return;
            }
        }
        if (decision == null) {
            finishIfLast();
        } else {
            proceed(decision);
        }
    }

    /**
     * Makes a further attempt, if there may be one, beside an attempt whose target may be at work.
     *
     * @param why the outcome to tell if the attempt never ends
     * @param prepaid whether the guard has paid for the further attempt
     */
    void onAttemptUnresponsive(TargetAttempt attempt, UnknownReason why, boolean prepaid) {
        RetryDecision decision;
        synchronized (this) {
            if (mEnded || !mAttempts.trySetAside(attempt)) {
                return;
            }
            mContext.metrics().attemptsSetAside().inc();
            mSelector.setAside(prepaid);
            if (prepaid) {
                mRetryState.onNextPrepaid();
            }
            mReporter.recordEndedAttempt(new Outcome.Unknown(why));
            decision = mRetryState.afterAttempt(new Outcome.Unknown(why));
        }
        proceed(decision);
    }

    private void proceed(RetryDecision decision) {
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
            if (canStartOver() && mPauses.tryPause(this::startNextAttempt)) {
                return;
            }
        }
        finish(mRetryWait.withReturnTime(outcome));
    }

    private boolean tryWait(boolean hasTarget) {
        return canStartOver() && mRetryWait.tryWait(mRetryState, hasTarget);
    }

    private boolean canStartOver() {
        return mOwner == null && !mDelivery.hasKept() && mBody.canReplay();
    }

    /** Sends a request that waited for a retry; does nothing if it has ended. */
    void resume(boolean prepaid) {
        synchronized (this) {
            mPauses.startOver();
            mRetryState.setPrepaid(prepaid);
        }
        startNextAttempt();
    }

    /** Handles the head of a target's answer: forwards the answer or tries another target. */
    void onAnswer(TargetAttempt attempt, UpstreamResponse answer, Content.Source body) {
        Outcome.Answered outcome = new Outcome.Answered(answer.status());
        boolean isAside;
        boolean retry;
        boolean isFinal;
        synchronized (this) {
            isAside = mAttempts.isAside(attempt);
            if (mEnded || !(isAside || mAttempts.isCurrent(attempt))) {
                body.fail(new IllegalStateException("the exchange has ended already"));
                return;
            }
            if (isAside) {
                mReporter.recordStep("earlier attempt: " + outcome);
            } else {
                mReporter.recordAnswer(outcome);
            }
            // Only the predecessor retries what it serves; with both, retries would multiply.
            retry = !isAside && mRetryState.retriesAfter(outcome, !mUsesPredecessor);
            isFinal = !mAttempts.tryWaitForBetter(attempt, outcome, retry);
            mEnded = isFinal;
        }
        if (isFinal) {
            mAttempts.removeAllBut(attempt).forEach(TargetAttempt::cancel);
            forwardAnswer(attempt, answer, body);
            return;
        }
        attempt.end();
        Runnable last = () -> finish(new Outcome.Unknown(UnknownReason.ANSWER_LOST));
        Runnable end = isAside ? this::finishIfLast : last;
        mDelivery.keep(answer, body, mDeadline, retry ? this::startNextAttempt : end);
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
        if (!tryEnd()) {
            return false;
        }
        boolean mayHaveRun = progress().mayHaveRun() || mAttempts.isCurrentSent();
        deliver(mayHaveRun ? new Outcome.Unknown(UnknownReason.STARTED) : ifNotRun);
        mAttempts.removeAllBut(null).forEach(TargetAttempt::abandon);
        return true;
    }

    private void onCallerDisconnected(Throwable cause) {
        if (tryEnd()) {
            mDeadline.cancel();
            mAttempts.removeAllBut(null).forEach(TargetAttempt::abandon);
            mCallback.failed(cause);
        }
    }

    /** Ends the exchange, so that nothing changes its attempts any more; false if it has ended. */
    private boolean tryEnd() {
        synchronized (this) {
            boolean first = !mEnded;
            mEnded = true;
            return first;
        }
    }

    /**
     * Writes the outcome or a buffered answer once no attempt is open, unless ended; may replace
     * {@link #start}.
     */
    void finish(Outcome outcome) {
        synchronized (this) {
            if (mEnded) {
                return;
            }
            if (mAttempts.tryHold(outcome)) {
                mReporter.recordStep("no further attempt, an earlier one is open: " + outcome);
                return;
            }
            mEnded = true;
        }
        deliver(outcome);
    }

    /** Follows the end of an earlier attempt: once none is open, tries again or tells the end. */
    private void finishIfLast() {
        Outcome held;
        synchronized (this) {
            held = mAttempts.heldOutcome().orElse(null);
            if (held == null || mEnded || mAttempts.hasAside()) {
                return;
            }
            mAttempts.dropHeld();
        }
        if (canStartOver() && mPauses.tryStartOver()) {
            startNextAttempt();
        } else {
            finish(FinalOutcomes.ofHeld(held, progress()));
        }
    }

    private void deliver(Outcome outcome) {
        mDeadline.cancel();
        DisconnectDetectingEndPoint.unwatch(mRequest);
        mDelivery.writeKeptOr(outcome);
    }
}
