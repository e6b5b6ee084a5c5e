package org.apricotgauge.caller;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
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
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * One caller's request from its head to its one final answer, over as many attempts as are safe.
 *
 * <p>At most one attempt is under way at a time. The deadline ends the exchange at once, whatever
 * the attempt is doing. One lock for each exchange, held for a few steps and never during I/O.
 */
final class CallerExchange {
    /** Bodies up to this size can be sent again; larger ones stream and go out once. */
    static final int MAX_REPLAYABLE_BYTES = 65_536;

    private static final long NO_TARGET_RETRY_AFTER_MILLIS = 1_000;

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
    private final long mDeadlineMillis;
    private final TargetSelector mSelector;
    private SubmissionProgress mProgress;
    private Candidate mOwner;
    private volatile boolean mUsesPredecessor;
    private TargetAttempt mCurrentAttempt;
    private boolean mCurrentAttemptBegun;
    private boolean mReachedTarget;
    private boolean mRetryPaid;
    private boolean mNextRetryPaid;
    private BufferedAnswer mBufferedAnswer;
    private Attempt mOwnerAttempt;
    private boolean mEnded;
    private volatile Scheduler.Task mDeadlineTask;

    CallerExchange(
            EntryContext context,
            ServiceTable table,
            Supplier<ServiceTable> present,
            long version,
            RetryBudget budget,
            CallerRequest asked,
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
                        context, asked, table.service().id(), version, request, mParentId);
        mBudget = budget;
        mCallerRequest = asked;
        mRequest = request;
        mCallback = callback;
        mDelivery = new AnswerDelivery(context, mReporter, request, response, callback);
        mSelector = new TargetSelector(context, present, asked.idempotent());
        mBody = new ReplayableBody(request, MAX_REPLAYABLE_BYTES);
        mQuarantine =
                new QuarantineCheck(
                        context.quarantine(),
                        () -> Fingerprints.headHash(request, asked.memberId()),
                        Fingerprints.hasBody(request),
                        mBody);
        mDeadlineMillis = context.ticker().millis() + asked.timeoutMillis();
        mProgress = SubmissionProgress.of(asked.idempotent(), false);
    }

    /** Starts at the node that remembers the request's key, and tries no other. */
    void startAtOwner(Candidate home) {
        mOwner = home;
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
            mBudget.onRequest();
        }
        mDeadlineTask =
                mContext.scheduler()
                        .schedule(
                                this::onDeadlinePassed,
                                Math.max(1, remainingMillis()),
                                TimeUnit.MILLISECONDS);
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

    /** Returns the time left to the deadline, in milliseconds; not positive once it has passed. */
    long remainingMillis() {
        return mDeadlineMillis - mContext.ticker().millis();
    }

    /**
     * Returns the time left in which an answer is of full use to the caller, in milliseconds; not
     * positive once it has passed.
     */
    long softDeadlineRemainingMillis() {
        Long targetMillis = mCallerRequest.route().targetLatencyMillis();
        long passedMillis = mCallerRequest.timeoutMillis() - remainingMillis();
        return targetMillis == null ? remainingMillis() : targetMillis - passedMillis;
    }

    /** Returns the id of the request that this one is a call for; nothing for a caller's. */
    Optional<String> parentId() {
        return mParentId;
    }

    /** Returns whether a target was sent the request before. */
    boolean isRetry() {
        synchronized (this) {
            return mReachedTarget;
        }
    }

    /** Notes that the guard of the present attempt has paid for the next run. */
    void onRetryPaid(TargetAttempt attempt) {
        synchronized (this) {
            mNextRetryPaid |= attempt == mCurrentAttempt;
        }
    }

    /** Returns whether the present run has been paid for by the guard of the one before. */
    boolean isRetryPaid() {
        synchronized (this) {
            return mRetryPaid;
        }
    }

    // A run that was paid for is over once a target was reached; until then the pay is good.
    private void updateRetryPaid(boolean reached) {
        if (reached) {
            mRetryPaid = mNextRetryPaid;
            mNextRetryPaid = false;
        }
    }

    /** Returns how much of a risk the present attempt may run. */
    HealthGate.RiskTolerance riskTolerance() {
        synchronized (this) {
            return mSelector.isLastResort()
                    ? HealthGate.RiskTolerance.NONE
                    : mContext.retryPolicy().riskTolerance(mProgress, maxRuns());
        }
    }

    /** Returns whether the present attempt may wait for a slot. */
    QueueingPolicy queueingPolicy() {
        return mSelector.queueingPolicy();
    }

    private int maxRuns() {
        return mCallerRequest.route().maxRunsOr(mContext.retryPolicy().maxAttempts());
    }

    long deadlineMillis() {
        return mDeadlineMillis;
    }

    /**
     * Returns the address of the next attempt at the key's home.
     *
     * <p>Once one may have run there, the others keep its run and its latest start: addressed anew
     * they could reach a home that no longer remembers the key.
     */
    Attempt newOwnerAttempt(GuardClockEstimate home, long untilMillis) {
        synchronized (this) {
            mOwnerAttempt =
                    mProgress.mayHaveRun()
                            ? mOwnerAttempt.withId(mContext.attemptIds().next())
                            : home.newAttempt(
                                    mContext.attemptIds().next(),
                                    mContext.ticker().millis(),
                                    untilMillis);
            return mOwnerAttempt;
        }
    }

    private void startNextAttempt() {
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
            finishWithoutTarget();
            return;
        }
        Candidate candidate = choice.get();
        mReporter.recordSend(candidate, riskTolerance().name());
        boolean direct =
                mContext.targetAccess() == EntryOptions.TargetAccess.GUARD_OR_DIRECT
                        && !mContext.hasReachableGuard(candidate);
        send(direct ? new DirectAttempt(this, candidate) : new GuardedAttempt(this, candidate));
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
     * Asked by an attempt just before its first byte is written; false means to write nothing.
     *
     * <p>The deadline may pass between the decision to send and the first byte. Under one lock
     * either the caller is told "not run" and no byte follows, or the byte comes first and the
     * caller is told "unknown".
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
        SubmissionProgress progress;
        synchronized (this) {
            progress = mProgress;
        }
        mContext.metrics().quarantined().inc();
        finish(
                progress.mayHaveRun()
                        ? new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT)
                        : new Outcome.NotRun(
                                NotRunReason.QUARANTINED, mQuarantine.remainingQuarantineMillis()));
    }

    private void finishWithoutTarget() {
        SubmissionProgress progress;
        synchronized (this) {
            progress = mProgress;
        }
        if (progress.mayHaveRun()) {
            finish(new Outcome.Unknown(UnknownReason.FORGOTTEN));
        } else if (progress.lastOutcome() instanceof Outcome.NotRun refusal) {
            finish(refusal);
        } else {
            finish(
                    new Outcome.NotRun(
                            NotRunReason.TARGET_UNREACHABLE, NO_TARGET_RETRY_AFTER_MILLIS));
        }
    }

    /**
     * Takes the end of an attempt at the older system that brought no answer.
     *
     * @param notSent whether no byte of it was written
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
            mBudget.onRequest();
            startNextAttempt();
            return;
        }
        // The fleet must not take a booking that the older system may have run for an earlier
        // submission: it would be booked twice. Not run is proven for this submission only.
        finish(
                notSent
                        ? new Outcome.NotRun(
                                NotRunReason.PREDECESSOR_UNREACHABLE, NO_TARGET_RETRY_AFTER_MILLIS)
                        : new Outcome.Unknown(UnknownReason.NO_GUARD));
    }

    /** Takes the end of an attempt that brought no answer of the target. */
    void onAttemptEnded(TargetAttempt attempt, Outcome outcome) {
        RetryDecision decision;
        synchronized (this) {
            if (mEnded || attempt != mCurrentAttempt) {
                return;
            }
            mCurrentAttempt = null;
            mProgress = mProgress.after(outcome);
            mReachedTarget |= reachedTarget(outcome);
            updateRetryPaid(reachedTarget(outcome));
            mReporter.recordStep(outcome.toString());
            decision = decide();
        }
        if (decision instanceof RetryDecision.Finish finish) {
            finish(finish.outcome());
            return;
        }
        mContext.metrics().retries().inc();
        startNextAttempt();
    }

    private static boolean reachedTarget(Outcome outcome) {
        return !(outcome instanceof Outcome.NotRun notRun)
                || notRun.reason() == NotRunReason.TARGET_SHED
                || notRun.reason() == NotRunReason.TARGET_REPLACED;
    }

    private RetryDecision decide() {
        boolean canReplay = mBody.canReplay();
        // What reached no target cost none; charging it to the budget would turn the loss of one VM
        // into refusals while the other targets idle.
        boolean free = !reachedTarget(mProgress.lastOutcome());
        return mContext.retryPolicy()
                .decide(
                        mProgress,
                        remainingMillis(),
                        maxRuns(),
                        () -> canReplay && (free || mBudget.tryRetry(mContext.ticker().millis())));
    }

    /** Takes the head of the target's answer, and either passes it on or tries another target. */
    void onAnswer(
            TargetAttempt attempt, org.eclipse.jetty.client.Response answer, Content.Source body) {
        Outcome.Answered outcome = new Outcome.Answered(answer.getStatus());
        boolean again;
        synchronized (this) {
            if (mEnded || attempt != mCurrentAttempt) {
                body.fail(new IllegalStateException("the caller has its answer already"));
                return;
            }
            mProgress = mProgress.after(outcome);
            mReporter.recordStep(outcome.toString());
            // What the older system serves only it retries; with both, retries would multiply.
            again = !mUsesPredecessor && !(decide() instanceof RetryDecision.Finish);
            mReachedTarget = true;
            updateRetryPaid(true);
            if (again) {
                mCurrentAttempt = null;
            } else {
                mEnded = true;
            }
        }
        if (again) {
            attempt.end();
            mContext.metrics().retries().inc();
            bufferAnswer(answer, body);
            return;
        }
        forwardAnswer(attempt, answer, body);
    }

    private void bufferAnswer(org.eclipse.jetty.client.Response answer, Content.Source body) {
        BufferedAnswer.read(answer, body)
                .whenComplete(
                        (kept, failure) -> {
                            if (failure != null) {
                                mReporter.recordStep("answer not kept: " + failure.getMessage());
                            }
                            synchronized (this) {
                                mBufferedAnswer = kept;
                            }
                            startNextAttempt();
                        });
    }

    private void forwardAnswer(
            TargetAttempt attempt, org.eclipse.jetty.client.Response answer, Content.Source body) {
        cancelDeadline();
        DisconnectDetectingEndPoint.unwatch(mRequest);
        mDelivery.forward(attempt, answer, body);
    }

    private void onDeadlinePassed() {
        TargetAttempt attempt;
        boolean mayHaveRun;
        synchronized (this) {
            if (mEnded) {
                return;
            }
            attempt = mCurrentAttempt;
            mayHaveRun = mProgress.mayHaveRun() || (attempt != null && mCurrentAttemptBegun);
        }
        finish(
                mayHaveRun
                        ? new Outcome.Unknown(UnknownReason.STARTED)
                        : new Outcome.NotRun(NotRunReason.DEADLINE_PASSED, 0));
        if (attempt != null) {
            attempt.abandon();
        }
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
        cancelDeadline();
        if (attempt != null) {
            attempt.abandon();
        }
        mCallback.failed(cause);
    }

    /** Tells the caller the outcome, unless it has its answer; before a start, nothing is sent. */
    void finish(Outcome outcome) {
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mEnded = true;
        }
        cancelDeadline();
        DisconnectDetectingEndPoint.unwatch(mRequest);
        BufferedAnswer kept;
        synchronized (this) {
            kept = mBufferedAnswer;
        }
        if (kept != null) {
            mDelivery.writeBuffered(kept);
        } else {
            mDelivery.writeOutcome(outcome);
        }
    }

    private void cancelDeadline() {
        Scheduler.Task deadline = mDeadlineTask;
        if (deadline != null) {
            deadline.cancel();
        }
    }
}
