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
import org.apricotgauge.http.Fingerprints;
import org.apricotgauge.http.HangUpEndPoint;
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
    static final int REPLAY_LIMIT_BYTES = 65_536;

    private static final long NO_TARGET_RETRY_AFTER_MILLIS = 1_000;

    private final EntryContext mContext;
    private final ServiceTable mTable;
    private final RetryBudget mBudget;
    private final Optional<String> mParentId;
    private final ExchangeReport mReport;
    private final CallerRequest mAsked;
    private final Request mRequest;
    private final Callback mCallback;
    private final AnswerDelivery mDelivery;
    private final ReplayableBody mBody;
    private final QuarantineCheck mQuarantine;
    private final long mDeadlineMillis;
    private final TargetChoice mChoice;
    private SubmissionProgress mProgress;
    private Candidate mHome;
    private volatile boolean mAtPredecessor;
    private TargetAttempt mCurrent;
    private boolean mCurrentBegun;
    private boolean mReachedTarget;
    private boolean mPaid;
    private boolean mNextPaid;
    private KeptAnswer mKept;
    private Attempt mAtHome;
    private boolean mEnded;
    private volatile Scheduler.Task mDeadline;

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
                CallParent.of(
                        context.dialect(), request.getHeaders(), context.observer()::isAtWork);
        mReport =
                new ExchangeReport(
                        context, asked, table.service().id(), version, request, mParentId);
        mBudget = budget;
        mAsked = asked;
        mRequest = request;
        mCallback = callback;
        mDelivery = new AnswerDelivery(context, mReport, request, response, callback);
        mChoice = new TargetChoice(context, present, asked.repeatable());
        mBody = new ReplayableBody(request, REPLAY_LIMIT_BYTES);
        mQuarantine =
                new QuarantineCheck(
                        context.quarantine(),
                        () -> Fingerprints.headOf(request, asked.memberId()),
                        Fingerprints.hasBody(request),
                        mBody);
        mDeadlineMillis = context.ticker().millis() + asked.timeoutMillis();
        mProgress = SubmissionProgress.of(asked.repeatable(), false);
    }

    /** Starts at the node that remembers the request's key, and tries no other. */
    void startAtHome(Candidate home) {
        mHome = home;
        mProgress = SubmissionProgress.of(mAsked.repeatable(), true);
        start();
    }

    void start() {
        mAtPredecessor =
                mHome == null && PredecessorShare.covers(mTable.service(), mAsked, mRequest);
        if (mAtPredecessor) {
            mContext.metrics().predecessorRequests().inc();
        } else {
            mBudget.onRequest();
        }
        mDeadline =
                mContext.scheduler()
                        .schedule(
                                this::deadlinePassed,
                                Math.max(1, leftMillis()),
                                TimeUnit.MILLISECONDS);
        mRequest.addFailureListener(this::callerGone);
        HangUpEndPoint.watch(mRequest, () -> callerGone(HangUpEndPoint.hangUp()));
        mQuarantine.whenIdentified(this::next);
    }

    EntryContext context() {
        return mContext;
    }

    CallerRequest asked() {
        return mAsked;
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
    long leftMillis() {
        return mDeadlineMillis - mContext.ticker().millis();
    }

    /**
     * Returns the time left in which an answer is of full use to the caller, in milliseconds; not
     * positive once it has passed.
     */
    long usefulMillis() {
        Long targetMillis = mAsked.route().targetLatencyMillis();
        long passedMillis = mAsked.timeoutMillis() - leftMillis();
        return targetMillis == null ? leftMillis() : targetMillis - passedMillis;
    }

    /** Returns the id of the request that this one is a call for; nothing for a caller's. */
    Optional<String> parentId() {
        return mParentId;
    }

    /** Returns whether a target was sent the request before. */
    boolean isRepeat() {
        synchronized (this) {
            return mReachedTarget;
        }
    }

    /** Notes that the guard of the present attempt has paid for the next run. */
    void paid(TargetAttempt attempt) {
        synchronized (this) {
            mNextPaid |= attempt == mCurrent;
        }
    }

    /** Returns whether the present run has been paid for by the guard of the one before. */
    boolean isPaid() {
        synchronized (this) {
            return mPaid;
        }
    }

    // A run that was paid for is over once a target was reached; until then the pay is good.
    private void settlePay(boolean reached) {
        if (reached) {
            mPaid = mNextPaid;
            mNextPaid = false;
        }
    }

    /** Returns how much of a risk the present attempt may run. */
    HealthGate.RiskTolerance caution() {
        synchronized (this) {
            return mChoice.isLastResort()
                    ? HealthGate.RiskTolerance.NONE
                    : mContext.repeatPolicy().riskTolerance(mProgress, maxRuns());
        }
    }

    /** Returns whether the present attempt may wait for a slot. */
    QueueingPolicy patience() {
        return mChoice.patience();
    }

    private int maxRuns() {
        return mAsked.route().maxRunsOr(mContext.repeatPolicy().maxAttempts());
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
    Attempt addressAtHome(GuardClockEstimate home, long untilMillis) {
        synchronized (this) {
            mAtHome =
                    mProgress.mayHaveRun()
                            ? mAtHome.withId(mContext.ids().next())
                            : home.newAttempt(
                                    mContext.ids().next(), mContext.ticker().millis(), untilMillis);
            return mAtHome;
        }
    }

    private void next() {
        if (mQuarantine.heldMillis() > 0) {
            endHeld();
            return;
        }
        if (mHome != null) {
            send(new KeyedAttempt(this, mHome, mAsked.key().orElseThrow()));
            return;
        }
        if (mAtPredecessor) {
            send(new PredecessorAttempt(this, mTable.service().predecessor()));
            return;
        }
        Optional<Candidate> choice = mChoice.next(mProgress.lastOutcome());
        if (choice.isEmpty()) {
            endWithoutTarget();
            return;
        }
        Candidate candidate = choice.get();
        mReport.sending(candidate, caution().name());
        boolean direct =
                mContext.reach() == EntryOptions.Reach.ANY_WAY && !mContext.hasGuardUp(candidate);
        send(direct ? new DirectAttempt(this, candidate) : new GuardedAttempt(this, candidate));
    }

    private void send(TargetAttempt attempt) {
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mCurrent = attempt;
            mCurrentBegun = false;
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
    boolean mayBegin(TargetAttempt attempt) {
        synchronized (this) {
            if (mEnded || attempt != mCurrent) {
                return false;
            }
            mCurrentBegun = true;
            return true;
        }
    }

    private void endHeld() {
        SubmissionProgress progress;
        synchronized (this) {
            progress = mProgress;
        }
        mContext.metrics().quarantined().inc();
        finish(
                progress.mayHaveRun()
                        ? new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT)
                        : new Outcome.NotRun(NotRunReason.QUARANTINED, mQuarantine.heldMillis()));
    }

    private void endWithoutTarget() {
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
    void predecessorFailed(TargetAttempt attempt, boolean notSent) {
        boolean fleetServes = notSent && mAsked.repeatable() && mBody.canReplay();
        synchronized (this) {
            if (mEnded || attempt != mCurrent) {
                return;
            }
            mCurrent = null;
            mAtPredecessor = !fleetServes;
        }
        if (fleetServes) {
            mContext.metrics().predecessorFallbacks().inc();
            mBudget.onRequest();
            next();
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
    void attemptEnded(TargetAttempt attempt, Outcome outcome) {
        RetryDecision decision;
        synchronized (this) {
            if (mEnded || attempt != mCurrent) {
                return;
            }
            mCurrent = null;
            mProgress = mProgress.after(outcome);
            mReachedTarget |= reachedTarget(outcome);
            settlePay(reachedTarget(outcome));
            mReport.step(outcome.toString());
            decision = decide();
        }
        if (decision instanceof RetryDecision.Finish finish) {
            finish(finish.outcome());
            return;
        }
        mContext.metrics().retries().inc();
        next();
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
        return mContext.repeatPolicy()
                .decide(
                        mProgress,
                        leftMillis(),
                        maxRuns(),
                        () -> canReplay && (free || mBudget.tryRetry(mContext.ticker().millis())));
    }

    /** Takes the head of the target's answer, and either passes it on or tries another target. */
    void answered(
            TargetAttempt attempt, org.eclipse.jetty.client.Response answer, Content.Source body) {
        Outcome.Answered outcome = new Outcome.Answered(answer.getStatus());
        boolean again;
        synchronized (this) {
            if (mEnded || attempt != mCurrent) {
                body.fail(new IllegalStateException("the caller has its answer already"));
                return;
            }
            mProgress = mProgress.after(outcome);
            mReport.step(outcome.toString());
            // What the older system serves only it retries; with both, retries would multiply.
            again = !mAtPredecessor && !(decide() instanceof RetryDecision.Finish);
            mReachedTarget = true;
            settlePay(true);
            if (again) {
                mCurrent = null;
            } else {
                mEnded = true;
            }
        }
        if (again) {
            attempt.over();
            mContext.metrics().retries().inc();
            keep(answer, body);
            return;
        }
        pass(attempt, answer, body);
    }

    private void keep(org.eclipse.jetty.client.Response answer, Content.Source body) {
        KeptAnswer.read(answer, body)
                .whenComplete(
                        (kept, failure) -> {
                            if (failure != null) {
                                mReport.step("answer not kept: " + failure.getMessage());
                            }
                            synchronized (this) {
                                mKept = kept;
                            }
                            next();
                        });
    }

    private void pass(
            TargetAttempt attempt, org.eclipse.jetty.client.Response answer, Content.Source body) {
        cancelDeadline();
        HangUpEndPoint.release(mRequest);
        mDelivery.pass(attempt, answer, body);
    }

    private void deadlinePassed() {
        TargetAttempt attempt;
        boolean mayHaveRun;
        synchronized (this) {
            if (mEnded) {
                return;
            }
            attempt = mCurrent;
            mayHaveRun = mProgress.mayHaveRun() || (attempt != null && mCurrentBegun);
        }
        finish(
                mayHaveRun
                        ? new Outcome.Unknown(UnknownReason.STARTED)
                        : new Outcome.NotRun(NotRunReason.DEADLINE_PASSED, 0));
        if (attempt != null) {
            attempt.abandon();
        }
    }

    private void callerGone(Throwable cause) {
        TargetAttempt attempt;
        synchronized (this) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            attempt = mCurrent;
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
        HangUpEndPoint.release(mRequest);
        KeptAnswer kept;
        synchronized (this) {
            kept = mKept;
        }
        if (kept != null) {
            mDelivery.deliver(kept);
        } else {
            mDelivery.tell(outcome);
        }
    }

    private void cancelDeadline() {
        Scheduler.Task deadline = mDeadline;
        if (deadline != null) {
            deadline.cancel();
        }
    }
}
