package org.apricotgauge.target;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.decision.admission.Rejection;
import org.apricotgauge.decision.admission.RejectionReason;
import org.apricotgauge.decision.admission.RunResult;
import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.http.AnswerStream;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.HangUpEndPoint;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.Outcomes;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.http.TargetNotice;
import org.apricotgauge.http.UpstreamExchange;
import org.apricotgauge.http.WatchedSource;
import org.apricotgauge.model.SiteView;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * One admitted attempt on its way through the gate to its target and back.
 *
 * <p>It ends once: refused before its first byte (proof of "not run"), answered, or broken. Each
 * ending tells the ledger, the gate, the observer and the entry, in that order.
 */
final class GuardedRequest implements TargetGate.Work, UpstreamExchange.Listener {
    /** An answer below shows that the request does its target no harm. */
    private static final int FIRST_FAILURE_STATUS = 400;

    private final GuardContext mContext;
    private final TargetGate mGate;
    private final Attempt mAttempt;
    private final Ticket mTicket;
    private final Request mRequest;
    private final Response mResponse;
    private final Callback mCallback;
    private final HealthGate.RiskTolerance mCaution;
    private final RetryPass mPass;
    private final HopTime mTime;
    private final long mArrivedAtMillis;
    private volatile long mSlotAtMillis;
    private volatile SiteView mView = SiteView.NONE;
    private final AtomicReference<Phase> mPhase = new AtomicReference<>(Phase.WAITING);
    private volatile long mSentAtNanos;
    private volatile long mSentAtMillis;
    private volatile UpstreamExchange mExchange;
    private volatile Scheduler.Task mTimeout;
    private volatile boolean mPaidNext;
    private final Acknowledgements mAcknowledgements;
    private final RunIdentity mIdentity;
    private final RunWatch mWatch;
    private final SendCheck mCheck;
    private volatile boolean mTimedOut;

    /** Why nothing was written though the request had its slot; null while nothing forbids it. */
    private volatile NotRunReason mWithheld;

    private volatile boolean mAbandoned;
    private volatile boolean mLeaving;

    private enum Phase {
        /** In the queue. */
        WAITING,
        /** Has a slot; the answer's head is not here. */
        SENDING,
        /** The answer streams. */
        ANSWERING,
        /** Over. */
        ENDED
    }

    GuardedRequest(
            GuardContext context,
            TargetGate gate,
            Attempt attempt,
            Ticket ticket,
            Request request,
            Response response,
            Callback callback,
            HealthGate.RiskTolerance caution,
            RetryPass pass) {
        mCaution = caution;
        mArrivedAtMillis = context.ticker().millis();
        mTime =
                HopTime.of(
                        request.getHeaders().getLongField(HeaderNames.TIMEOUT_MILLIS),
                        ticket.deadlineMillis(),
                        mArrivedAtMillis);
        mPass = pass;
        mContext = context;
        mGate = gate;
        mIdentity = new RunIdentity(request, context.dialect());
        mWatch = new RunWatch(context, gate, mIdentity);
        mCheck = new SendCheck(context, gate, mIdentity);
        mAttempt = attempt;
        mTicket = ticket;
        mRequest = request;
        mResponse = response;
        mAcknowledgements =
                new Acknowledgements(
                        context.scheduler(),
                        response,
                        this::hasBegunAnswer,
                        context.observer()::beforeAcknowledgement);
        mCallback = callback;
    }

    private boolean hasBegunAnswer() {
        Phase phase = mPhase.get();
        return phase == Phase.ANSWERING || phase == Phase.ENDED;
    }

    /** Tells the entry that the request is here, and goes to the gate. */
    void begin() {
        HangUpEndPoint.watch(mRequest, this::entryGone);
        mAcknowledgements.tell();
        mAcknowledgements.after(() -> mIdentity.whenIdentified(mContext.quarantine(), this::enter));
    }

    /** Takes the request out of the queue after a fence; a started one goes on. */
    void fenced() {
        if (mGate.cancel(mTicket) && mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            endNotRun(NotRunReason.FENCED);
        }
    }

    private void enter() {
        if (heldMillis() > 0 && mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            mContext.ledger().withdraw(mAttempt, mContext.ticker().millis());
            endNotRun(NotRunReason.QUARANTINED);
            return;
        }
        mGate.enter(mTicket, this);
        if (mLeaving) {
            // The node began to stop between the arrival and the queue.
            leaving();
        }
    }

    /** Takes the request out of the queue because the node stops; one at the target goes on. */
    void leaving() {
        mLeaving = true;
        if (mGate.cancel(mTicket) && mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            mContext.ledger().withdraw(mAttempt, mContext.ticker().millis());
            endNotRun(NotRunReason.LEAVING);
        }
    }

    // The entry closes its connection when its caller has hung up or its deadline has passed.
    private void entryGone() {
        mContext.ledger().fence(mAttempt, mContext.ticker().millis());
        abandoned();
    }

    /** Gives the request up because its entry has; a started one is cancelled at the target. */
    void abandoned() {
        mAbandoned = true;
        fenced();
        UpstreamExchange exchange = mExchange;
        if (exchange != null) {
            exchange.abort(new TimeoutException("the entry gave the attempt up"));
        }
    }

    @Override
    public void admitted() {
        mSlotAtMillis = mContext.ticker().millis();
        mView = mContext.observer().siteView();
        NotRunReason refused = mCheck.atSlot(mCaution, mPass);
        if (refused != null) {
            refuseAtSlot(refused);
            return;
        }
        if (!mPhase.compareAndSet(Phase.WAITING, Phase.SENDING)) {
            mGate.leave(mTicket, RunResult.UNSENT, 0);
            return;
        }
        mContext.observer().runStarted(requestId());
        long leftMillis = mTime.leftMillis(mContext.ticker().millis());
        mTimeout = mContext.scheduler().schedule(this::timedOut, leftMillis, TimeUnit.MILLISECONDS);
        mWatch.begin(mTicket.workKind(), mGate.usefulMillis(mTicket), leftMillis, this::hung);
        mExchange =
                UpstreamExchange.send(
                        TargetRequests.create(
                                mContext, mGate, mTicket, mRequest, mIdentity, leftMillis),
                        this);
        if (mAbandoned) {
            // Given up between the slot and the sending, when there was nothing yet to abort.
            abandoned();
        }
    }

    private void refuseAtSlot(NotRunReason reason) {
        if (mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            mContext.ledger().withdraw(mAttempt, mContext.ticker().millis());
            endNotRun(reason);
        }
        mGate.leave(mTicket, RunResult.UNSENT, 0);
    }

    @Override
    public void refused(Rejection refusal) {
        if (mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            mContext.ledger().withdraw(mAttempt, mContext.ticker().millis());
            endNotRun(reasonOf(refusal.reason()), refusal.retryAfterMillis());
        }
    }

    private static NotRunReason reasonOf(RejectionReason reason) {
        return switch (reason) {
            case BUSY -> NotRunReason.BUSY;
            case QUEUE_FULL -> NotRunReason.QUEUE_FULL;
            case DEADLINE_TOO_SHORT -> NotRunReason.DEADLINE_TOO_SHORT;
            case DEADLINE_PASSED -> NotRunReason.DEADLINE_PASSED;
        };
    }

    @Override
    public boolean onBegin() {
        mSentAtNanos = mContext.ticker().nanos();
        mSentAtMillis = mContext.ticker().millis();
        mWithheld = mCheck.beforeFirstByte(mAttempt);
        if (mWithheld == null) {
            logStart();
        }
        return mWithheld == null;
    }

    private void logStart() {
        mContext.log()
                .started(
                        new RunLog.Started(
                                requestId(),
                                mIdentity.fingerprint().toString(),
                                mGate.target().id(),
                                mAttempt.toString(),
                                mView,
                                mSlotAtMillis - mArrivedAtMillis,
                                mContext.ticker().millis() - mSlotAtMillis));
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
        if (!mPhase.compareAndSet(Phase.SENDING, Phase.ENDED)) {
            return;
        }
        if (failure.progress() == UpstreamExchange.Progress.NOT_SENT) {
            NotRunReason withheld = mWithheld;
            boolean isUnstarted = mContext.ledger().withdraw(mAttempt, mContext.ticker().millis());
            leaveGate(
                    withheld == null ? RunResult.FAILED : RunResult.UNSENT,
                    withheld == null ? ObservedOutcome.TARGET_ERROR : ObservedOutcome.CANCELLED);
            if (!isUnstarted) {
                throw new IllegalStateException("attempt not sent, yet started: " + mAttempt);
            }
            endNotRun(withheld == null ? NotRunReason.TARGET_UNREACHABLE : withheld);
            return;
        }
        endBroken(true).whenComplete((told, ignored) -> answerUnknown());
    }

    // Told at once, the entry would send the request to its next target before anybody knows that
    // this one has ended.
    private void answerUnknown() {
        boolean held = heldMillis() > 0;
        payForNext(mCaution == HealthGate.RiskTolerance.MAY_TRY && !held);
        mContext.observer().beforeAnswer(mGate.target(), mResponse.getHeaders());
        Outcome.Unknown outcome =
                new Outcome.Unknown(held ? UnknownReason.QUARANTINED : UnknownReason.STARTED);
        mAcknowledgements.after(() -> Outcomes.write(mResponse, mCallback, outcome));
    }

    /** Pays for the next run of a request that this target failed, if it may have one. */
    private void payForNext(boolean mayRunAgain) {
        if (mayRunAgain && (mPaidNext || mPass.tryPayNext())) {
            mResponse.getHeaders().put(HeaderNames.RETRY_PAID, "1");
        }
    }

    @Override
    public void onAnswer(org.eclipse.jetty.client.Response answer, Content.Source body) {
        if (!mPhase.compareAndSet(Phase.SENDING, Phase.ANSWERING)) {
            body.fail(new TimeoutException("the attempt was given up"));
            return;
        }
        mAcknowledgements.stop();
        SiteDialect.AnswerKind kind =
                mContext.dialect()
                        .kindOf(mRequest.getHeaders(), answer.getStatus(), answer.getHeaders());
        if (kind == SiteDialect.AnswerKind.ANSWER || kind == SiteDialect.AnswerKind.SHED) {
            takeNotice(kind, mContext.dialect().noticeOf(answer.getHeaders()));
        }
        if (kind != SiteDialect.AnswerKind.ANSWER) {
            endWithoutAnswer(kind, answer, body);
            return;
        }
        AnswerStream.copyHead(answer, mResponse);
        payForNext(
                mCaution == HealthGate.RiskTolerance.MAY_TRY
                        && HttpStatus.isServerError(answer.getStatus()));
        mResponse.getHeaders().put(Attempt.HEADER, mAttempt.toString());
        if (HttpStatus.isServerError(answer.getStatus()) && hasLostCall()) {
            mResponse.getHeaders().put(HeaderNames.CALL_LOST, "1");
        }
        mGate.tell(mResponse.getHeaders());
        mContext.observer().beforeAnswer(mGate.target(), mResponse.getHeaders());
        WatchedSource watched = new WatchedSource(body);
        Callback whenCopied =
                Callback.from(
                        () -> answered(answer.getStatus()),
                        cause -> answerBroken(watched.hasFailed(), cause));
        mAcknowledgements.after(
                () -> AnswerStream.copyBody(answer, watched, mResponse, whenCopied));
    }

    private void takeNotice(SiteDialect.AnswerKind kind, TargetNotice notice) {
        mGate.told(notice, kind == SiteDialect.AnswerKind.ANSWER, mSentAtMillis);
        if (notice.leaving()) {
            mContext.observer().onTargetLeaving(mGate.target());
        }
    }

    private void endWithoutAnswer(
            SiteDialect.AnswerKind kind,
            org.eclipse.jetty.client.Response answer,
            Content.Source body) {
        mPhase.set(Phase.ENDED);
        if (kind == SiteDialect.AnswerKind.FOREIGN) {
            body.fail(new IllegalStateException("an answer to another request"));
            endBroken(true);
            mContext.metrics().foreignAnswers().inc();
            mContext.observer().beforeAnswer(mGate.target(), mResponse.getHeaders());
            Outcome.Unknown lost = new Outcome.Unknown(UnknownReason.ANSWER_LOST);
            mAcknowledgements.after(() -> Outcomes.write(mResponse, mCallback, lost));
            return;
        }
        mContext.ledger().completed(mAttempt, answer.getStatus(), mContext.ticker().millis());
        Bodies.discard(body);
        boolean shed = kind == SiteDialect.AnswerKind.SHED;
        if (!shed) {
            mGate.markReplaced();
        }
        payForNext(mCaution != HealthGate.RiskTolerance.NONE);
        leaveGate(
                shed ? RunResult.SHED : RunResult.CANCELLED,
                shed ? ObservedOutcome.SHED : ObservedOutcome.CANCELLED);
        endNotRun(shed ? NotRunReason.TARGET_SHED : NotRunReason.TARGET_REPLACED, 0);
    }

    private void answered(int status) {
        mPhase.set(Phase.ENDED);
        mContext.ledger().completed(mAttempt, status, mContext.ticker().millis());
        boolean shed = status == HttpStatus.SERVICE_UNAVAILABLE_503;
        boolean error = HttpStatus.isServerError(status);
        ObservedOutcome seen = error ? errorSeen() : ObservedOutcome.SUCCESS;
        leaveGate(resultOf(shed, error), shed ? ObservedOutcome.SHED : seen);
        if (status < FIRST_FAILURE_STATUS) {
            mContext.quarantine().recordSuccess(mIdentity.fingerprint());
        }
        mContext.metrics().answered().inc();
        stopTimers();
        mCallback.succeeded();
    }

    // A failure after 1 ms says nothing of the time that work takes. Counted in, it makes waits
    // look short, and requests wait past their deadlines at targets that just began to fail.
    private static RunResult resultOf(boolean shed, boolean error) {
        if (shed) {
            return RunResult.SHED;
        }
        return error ? RunResult.FAILED : RunResult.ANSWERED;
    }

    // A target whose call to another service failed has to fail its own request. Taken for a sick
    // one, it would be avoided, and one bad service would make all that call it look sick.
    private ObservedOutcome errorSeen() {
        return hasLostCall() ? ObservedOutcome.CANCELLED : ObservedOutcome.TARGET_ERROR;
    }

    private boolean hasLostCall() {
        return mContext.observer().hasLostCall(requestId());
    }

    private String requestId() {
        return mIdentity.id();
    }

    private void answerBroken(boolean byTarget, Throwable cause) {
        mPhase.set(Phase.ENDED);
        endBroken(byTarget);
        mCallback.failed(cause);
    }

    private CompletableFuture<Void> endBroken(boolean byTarget) {
        CompletableFuture<Void> told = CompletableFuture.completedFuture(null);
        mContext.ledger().broken(mAttempt, mContext.ticker().millis());
        if (mTimedOut) {
            leaveGate(RunResult.CANCELLED, ObservedOutcome.TIMEOUT);
        } else if (byTarget && !mAbandoned && !mPaidNext) {
            leaveGate(RunResult.FAILED, ObservedOutcome.TARGET_ERROR);
            told = mWatch.broken();
        } else {
            leaveGate(RunResult.CANCELLED, ObservedOutcome.CANCELLED);
        }
        mContext.metrics().unknown().inc();
        stopTimers();
        return told;
    }

    // A target that hangs would hold the request to its deadline, though others could serve it.
    private void hung() {
        UpstreamExchange exchange = mExchange;
        if (mCaution != HealthGate.RiskTolerance.MAY_TRY
                || exchange == null
                || mPhase.get() != Phase.SENDING
                || mPaidNext
                || !mPass.tryPayNextOfMany()) {
            return;
        }
        mPaidNext = true;
        mContext.metrics().hung().inc();
        exchange.abort(new TimeoutException("the target hangs"));
    }

    private void timedOut() {
        mTimedOut = true;
        UpstreamExchange exchange = mExchange;
        if (exchange != null) {
            exchange.abort(new TimeoutException("deadline of the request passed"));
        }
    }

    private void leaveGate(RunResult result, ObservedOutcome outcome) {
        long serviceNanos = Math.max(0, mContext.ticker().nanos() - mSentAtNanos);
        long serviceMicros = TimeUnit.NANOSECONDS.toMicros(serviceNanos);
        mContext.metrics().service().update(serviceNanos, TimeUnit.NANOSECONDS);
        mContext.observer().runEnded(requestId());
        mWatch.end(outcome, serviceMicros);
        mGate.leave(mTicket, result, serviceMicros);
    }

    private long heldMillis() {
        return mContext.quarantine().remainingQuarantineMillis(mIdentity.fingerprint());
    }

    private void endNotRun(NotRunReason reason) {
        endNotRun(reason, reason == NotRunReason.QUARANTINED ? heldMillis() : 0);
    }

    private void endNotRun(NotRunReason reason, long retryAfterMillis) {
        stopTimers();
        mContext.metrics().notRun().inc();
        if (reason == NotRunReason.QUARANTINED) {
            mContext.metrics().quarantined().inc();
        }
        mGate.tell(mResponse.getHeaders());
        mContext.observer().beforeAnswer(mGate.target(), mResponse.getHeaders());
        Outcome.NotRun outcome = new Outcome.NotRun(reason, retryAfterMillis);
        mAcknowledgements.after(() -> Outcomes.write(mResponse, mCallback, outcome));
    }

    private void stopTimers() {
        HangUpEndPoint.release(mRequest);
        cancel(mTimeout);
        mAcknowledgements.stop();
    }

    private static void cancel(Scheduler.Task task) {
        if (task != null) {
            task.cancel();
        }
    }
}
