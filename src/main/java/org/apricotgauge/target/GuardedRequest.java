package org.apricotgauge.target;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.decision.admission.Rejection;
import org.apricotgauge.decision.admission.RunResult;
import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.FailureTrackingSource;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.http.TargetNotice;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.http.client.UpstreamResponse;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/**
 * An attempt that the ledger admitted, from the queue to its target and back.
 *
 * <p>It ends exactly once: rejected before its first byte (proof of "not run"), answered, or
 * broken. Each end is reported to the ledger, the gate, the observer and the entry, in that order.
 */
final class GuardedRequest implements TargetGate.AdmissionListener, UpstreamExchange.Listener {
    /** An answer with a lower status shows that the request doesn't crash its target. */
    private static final int FIRST_FAILURE_STATUS = 400;

    private final GuardContext mContext;
    private final TargetGate mGate;
    private final Attempt mAttempt;
    private final Ticket mTicket;
    private final HopRequest mRequest;
    private final HopReply mReply;
    private final HealthGate.TargetRestriction mTargetRestriction;
    private final RetryCharge mRetryCharge;
    private final RetryPrepayment mPrepayment;
    private final RunDeadline mRunDeadline;
    private final RunTimes mTimes;
    private final AtomicReference<Phase> mPhase = new AtomicReference<>(Phase.WAITING);
    private final AcknowledgementSender mAcknowledgements;
    private final RunIdentity mIdentity;
    private final RunMonitor mRunMonitor;
    private final StopCheck mStopCheck;
    private final SendCheck mSendCheck;
    private final EarlyEnd mEarlyEnd;
    private final RunFailover mFailover;

    /** Why nothing was written although the request had a slot; null if it may be written. */
    private volatile NotRunReason mSendRejection;

    private enum Phase {
        /** In the queue. */
        WAITING,
        /** Has a slot; the head of the answer has not arrived. */
        SENDING,
        /** The answer is being streamed. */
        ANSWERING,
        /** The attempt has ended. */
        ENDED
    }

    GuardedRequest(
            GuardContext context,
            TargetGate gate,
            Attempt attempt,
            Ticket ticket,
            HopRequest request,
            HopReply reply,
            RetryCharge retryCharge) {
        mTargetRestriction = HopHeaders.targetRestrictionOf(request.headers());
        mTimes = new RunTimes(context);
        mRunDeadline =
                RunDeadline.of(
                        request.headers().getLongField(HeaderNames.TIMEOUT_MILLIS),
                        ticket.deadlineMillis(),
                        mTimes.arrivedMillis());
        mRetryCharge = retryCharge;
        mPrepayment =
                new RetryPrepayment(
                        retryCharge,
                        mTargetRestriction == HealthGate.TargetRestriction.MAY_TRY,
                        () -> context.hasAlternative().test(gate.target()));
        mContext = context;
        mGate = gate;
        mIdentity = new RunIdentity(request, context.dialect());
        mRunMonitor = new RunMonitor(context, gate, mIdentity);
        mStopCheck =
                new StopCheck(
                        context,
                        gate,
                        ticket,
                        mRunDeadline,
                        mTargetRestriction != HealthGate.TargetRestriction.STEADY);
        mSendCheck = new SendCheck(context, gate, mIdentity, mStopCheck);
        mAttempt = attempt;
        mTicket = ticket;
        mRequest = request;
        mReply = reply;
        RunEventLog log = new RunEventLog(context, mIdentity, gate.target(), attempt, mTimes);
        mEarlyEnd = new EarlyEnd(log, () -> mPhase.get() == Phase.ENDED);
        mAcknowledgements =
                new AcknowledgementSender(
                        context.scheduler(),
                        reply,
                        this::hasAnswerBegun,
                        context::addAcknowledgementHeaders,
                        request.headers().contains(HeaderNames.BODY_ON_DEMAND));
        mFailover =
                new RunFailover(
                        context.metrics(),
                        mPrepayment,
                        mStopCheck,
                        mAcknowledgements,
                        log,
                        HopHeaders.canRetryBeside(request.headers()));
    }

    private boolean hasAnswerBegun() {
        Phase phase = mPhase.get();
        return phase == Phase.ANSWERING || phase == Phase.ENDED;
    }

    /** Acknowledges the request to its entry and submits it to the gate. */
    void start() {
        if (!mStopCheck.canEnd()) {
            withdraw();
            return;
        }
        mReply.watch(this::onEntryDisconnected);
        mAcknowledgements.send();
        mAcknowledgements.runAfterPendingWrite(
                () ->
                        mIdentity.whenIdentified(
                                mContext.quarantine(),
                                mAcknowledgements::askForBody,
                                this::submit));
    }

    /** Removes the request from the queue after a fence; a started one continues. */
    void onFenced() {
        if (mGate.cancel(mTicket) && mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            endNotRun(NotRunReason.FENCED);
        }
    }

    private void submit() {
        if (mPhase.get() != Phase.WAITING) {
            return;
        }
        if (quarantineMillis() > 0 && mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            mContext.ledger().withdraw(mAttempt, mContext.ticker().millis());
            endNotRun(NotRunReason.QUARANTINED);
            return;
        }
        mGate.submit(mTicket, this);
    }

    /** Removes the request from the queue because the node stops; a started one continues. */
    void onDraining() {
        withdraw();
    }

    /** Ends the request, unless its answer has begun, once it can't end before the node does. */
    void onStopping() {
        if (mPhase.get() == Phase.WAITING && !mStopCheck.canEnd()) {
            withdraw();
        } else if (mPhase.get() == Phase.SENDING && mEarlyEnd.hasExchange()) {
            breakOffBeforeEnd();
        }
    }

    private void breakOffBeforeEnd() {
        boolean handsOver = mFailover.mustHandOver();
        boolean breaksOff = handsOver || mStopCheck.isLastMoment();
        if (!breaksOff || !mPhase.compareAndSet(Phase.SENDING, Phase.ENDED)) {
            return;
        }
        EarlyEnd.Reason reason =
                handsOver ? EarlyEnd.Reason.HANDED_OVER : EarlyEnd.Reason.NODE_ENDING;
        mEarlyEnd.abort(reason);
        if (mContext.ledger().withdraw(mAttempt, mContext.ticker().millis())) {
            releaseSlot(RunResult.UNSENT, ObservedOutcome.CANCELLED);
            endNotRun(NotRunReason.LEAVING);
            return;
        }
        mEarlyEnd.record(reason);
        if (!handsOver) {
            mContext.metrics().stopUnfinished().inc();
        }
        endBroken(false);
        writeUnknown();
    }

    private void withdraw() {
        if (mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            mGate.cancel(mTicket);
            mContext.ledger().withdraw(mAttempt, mContext.ticker().millis());
            endNotRun(NotRunReason.LEAVING);
        }
    }

    // The entry disconnects when its caller has disconnected or the deadline has passed.
    private void onEntryDisconnected() {
        mContext.ledger().fence(mAttempt, mContext.ticker().millis());
        cancel(EarlyEnd.Reason.ENTRY_DISCONNECTED);
    }

    /** Cancels the request after its entry abandoned it, at the target if it has started. */
    void onAbandoned() {
        cancel(EarlyEnd.Reason.ABANDONED);
    }

    private void cancel(EarlyEnd.Reason reason) {
        mGate.cancel(mTicket);
        if (mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            endNotRun(NotRunReason.FENCED);
        }
        mEarlyEnd.end(reason);
    }

    @Override
    public void admitted() {
        mTimes.onAdmitted();
        NotRunReason rejection = mSendCheck.checkAdmitted(mTargetRestriction, mRetryCharge);
        if (rejection != null) {
            rejectAdmitted(rejection);
            return;
        }
        if (!mPhase.compareAndSet(Phase.WAITING, Phase.SENDING)) {
            mGate.release(mTicket, RunResult.UNSENT, 0);
            return;
        }
        mAcknowledgements.askForBody();
        mContext.observer().onRunStarted(requestId());
        long remainingMillis = mRunDeadline.remainingMillis(mContext.ticker().millis());
        mEarlyEnd.startDeadline(mContext.scheduler(), remainingMillis);
        mRunMonitor.start(
                mTicket.workKind(),
                mGate.softDeadlineRemainingMillis(mTicket),
                remainingMillis,
                this::abortForFailover);
        UpstreamRequest request =
                TargetRequestFactory.create(
                        mContext, mGate, mTicket, mRequest, mIdentity, remainingMillis);
        mEarlyEnd.setExchange(mContext.client().send(request, this));
    }

    private void rejectAdmitted(NotRunReason reason) {
        if (mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            mContext.ledger().withdraw(mAttempt, mContext.ticker().millis());
            endNotRun(reason);
        }
        mGate.release(mTicket, RunResult.UNSENT, 0);
    }

    @Override
    public void rejected(Rejection rejection) {
        if (mPhase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            mContext.ledger().withdraw(mAttempt, mContext.ticker().millis());
            endNotRun(RunResults.reasonOf(rejection.reason()), rejection.retryAfterMillis());
        }
    }

    @Override
    public boolean onBegin() {
        mTimes.onSent();
        mSendRejection = mSendCheck.checkBeforeFirstByte(mAttempt);
        if (mSendRejection == null) {
            mTimes.onStarted(mIdentity, mGate.target(), mAttempt);
        }
        return mSendRejection == null;
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
        if (!mPhase.compareAndSet(Phase.SENDING, Phase.ENDED)) {
            return;
        }
        if (failure.progress() == UpstreamExchange.Progress.NOT_SENT) {
            NotRunReason rejection = mSendRejection;
            boolean isNotRun = mContext.ledger().withdraw(mAttempt, mContext.ticker().millis());
            releaseSlot(
                    rejection == null ? RunResult.FAILED : RunResult.UNSENT,
                    rejection == null ? ObservedOutcome.TARGET_ERROR : ObservedOutcome.CANCELLED);
            if (!isNotRun) {
                throw new IllegalStateException(
                        "attempt was not sent but is recorded as started: " + mAttempt);
            }
            endNotRun(rejection == null ? NotRunReason.TARGET_UNREACHABLE : rejection);
            return;
        }
        endBroken(true).whenComplete((exitReported, ignored) -> writeUnknown());
    }

    // Written after the exit check: an entry that is answered at once would send the request to its
    // next target before it is known that this target has ended.
    private void writeUnknown() {
        boolean isQuarantined = quarantineMillis() > 0;
        mPrepayment.pay(
                mReply.headers(),
                mTargetRestriction == HealthGate.TargetRestriction.MAY_TRY && !isQuarantined);
        mContext.addAnswerHeaders(mGate.target(), mReply);
        Outcome.Unknown outcome =
                new Outcome.Unknown(
                        isQuarantined ? UnknownReason.QUARANTINED : UnknownReason.STARTED);
        mAcknowledgements.runAfterPendingWrite(() -> mReply.end(outcome));
    }

    @Override
    public void onAnswer(UpstreamResponse answer, Content.Source body) {
        if (!mPhase.compareAndSet(Phase.SENDING, Phase.ANSWERING)) {
            body.fail(new TimeoutException("attempt was abandoned"));
            return;
        }
        mAcknowledgements.stop();
        SiteDialect.AnswerKind kind =
                mContext.dialect().kindOf(mRequest.headers(), answer.status(), answer.headers());
        if (kind == SiteDialect.AnswerKind.ANSWER || kind == SiteDialect.AnswerKind.SHED) {
            handleNotice(kind, mContext.dialect().noticeOf(answer.headers()));
        }
        if (kind != SiteDialect.AnswerKind.ANSWER) {
            endWithoutAnswer(kind, answer, body);
            return;
        }
        HttpFields.Mutable headers = mReply.headers();
        ForwardedHeaders.copyResponse(answer.headers(), headers);
        mPrepayment.pay(
                headers,
                mTargetRestriction == HealthGate.TargetRestriction.MAY_TRY
                        && HttpStatus.isServerError(answer.status()));
        headers.put(Attempt.HEADER, mAttempt.toString());
        if (HttpStatus.isServerError(answer.status()) && hasFailedCall()) {
            headers.put(HeaderNames.NESTED_CALL_FAILED, "1");
        }
        mGate.addHeaders(headers);
        mContext.addAnswerHeaders(mGate.target(), mReply);
        FailureTrackingSource trackedBody = new FailureTrackingSource(body);
        Callback whenCopied =
                Callback.from(
                        () -> onAnswerCompleted(answer.status()),
                        cause -> onAnswerBroken(trackedBody.hasFailed(), cause));
        mAcknowledgements.runAfterPendingWrite(
                () -> mReply.answer(answer, trackedBody, whenCopied));
    }

    private void handleNotice(SiteDialect.AnswerKind kind, TargetNotice notice) {
        mGate.handleNotice(notice, kind == SiteDialect.AnswerKind.ANSWER, mTimes.sentMillis());
        if (notice.leaving()) {
            mContext.observer().onTargetLeaving(mGate.target());
        }
    }

    private void endWithoutAnswer(
            SiteDialect.AnswerKind kind, UpstreamResponse answer, Content.Source body) {
        mPhase.set(Phase.ENDED);
        if (kind == SiteDialect.AnswerKind.MISMATCHED) {
            body.fail(new IllegalStateException("answer belongs to another request"));
            endBroken(true);
            mContext.metrics().foreignAnswers().inc();
            mContext.addAnswerHeaders(mGate.target(), mReply);
            Outcome.Unknown outcome = new Outcome.Unknown(UnknownReason.ANSWER_LOST);
            mAcknowledgements.runAfterPendingWrite(() -> mReply.end(outcome));
            return;
        }
        mContext.ledger().completed(mAttempt, answer.status(), mContext.ticker().millis());
        Bodies.discard(body, mContext.scheduler());
        boolean shed = kind == SiteDialect.AnswerKind.SHED;
        if (!shed) {
            mGate.markReplaced();
        }
        mPrepayment.pay(mReply.headers(), mTargetRestriction != HealthGate.TargetRestriction.NONE);
        releaseSlot(
                shed ? RunResult.SHED : RunResult.CANCELLED,
                shed ? ObservedOutcome.SHED : ObservedOutcome.CANCELLED);
        endNotRun(shed ? NotRunReason.TARGET_SHED : NotRunReason.TARGET_REPLACED, 0);
    }

    private void onAnswerCompleted(int status) {
        mPhase.set(Phase.ENDED);
        mContext.ledger().completed(mAttempt, status, mContext.ticker().millis());
        boolean shed = status == HttpStatus.SERVICE_UNAVAILABLE_503;
        boolean error = HttpStatus.isServerError(status);
        ObservedOutcome outcome = error ? errorOutcome() : ObservedOutcome.SUCCESS;
        releaseSlot(RunResults.resultOf(shed, error), shed ? ObservedOutcome.SHED : outcome);
        if (status < FIRST_FAILURE_STATUS) {
            mContext.quarantine().recordSuccess(mIdentity.fingerprint());
        }
        mContext.metrics().answered().inc();
        stopTimers();
        mReply.complete();
    }

    // A target whose nested call failed has to fail its own request. If that counted against the
    // target, one degraded service would make all services that call it appear degraded.
    private ObservedOutcome errorOutcome() {
        return hasFailedCall() ? ObservedOutcome.CANCELLED : ObservedOutcome.TARGET_ERROR;
    }

    private boolean hasFailedCall() {
        return mContext.observer().hasFailedCall(requestId());
    }

    private String requestId() {
        return mIdentity.id();
    }

    private void onAnswerBroken(boolean byTarget, Throwable cause) {
        if (!byTarget) {
            mEarlyEnd.record(EarlyEnd.Reason.ENTRY_DISCONNECTED);
        }
        mPhase.set(Phase.ENDED);
        endBroken(byTarget);
        mReply.fail(cause);
    }

    private CompletableFuture<Void> endBroken(boolean byTarget) {
        CompletableFuture<Void> exitReported = CompletableFuture.completedFuture(null);
        mContext.ledger().broken(mAttempt, mContext.ticker().millis());
        if (mEarlyEnd.isBy(EarlyEnd.Reason.DEADLINE)) {
            releaseSlot(RunResult.CANCELLED, ObservedOutcome.TIMEOUT);
        } else if (byTarget && !mEarlyEnd.isRecorded()) {
            releaseSlot(RunResult.FAILED, ObservedOutcome.TARGET_ERROR);
            exitReported = mRunMonitor.reportBroken();
        } else {
            releaseSlot(RunResult.CANCELLED, ObservedOutcome.CANCELLED);
        }
        mContext.metrics().unknown().inc();
        stopTimers();
        return exitReported;
    }

    // A hung target would keep the request until its deadline though others could serve it.
    private void abortForFailover() {
        boolean isSending = mPhase.get() == Phase.SENDING && mEarlyEnd.hasExchange();
        if (isSending && mFailover.mustEndHung()) {
            mEarlyEnd.end(EarlyEnd.Reason.HUNG);
        }
    }

    private void releaseSlot(RunResult result, ObservedOutcome outcome) {
        long serviceNanos = mTimes.serviceNanos();
        long serviceMicros = TimeUnit.NANOSECONDS.toMicros(serviceNanos);
        mContext.metrics().serviceTime().update(serviceNanos, TimeUnit.NANOSECONDS);
        mContext.observer().onRunEnded(requestId());
        mRunMonitor.end(outcome, serviceMicros);
        mGate.release(mTicket, result, serviceMicros);
    }

    private long quarantineMillis() {
        return mContext.quarantine().remainingQuarantineMillis(mIdentity.fingerprint());
    }

    private void endNotRun(NotRunReason reason) {
        endNotRun(reason, reason == NotRunReason.QUARANTINED ? quarantineMillis() : 0);
    }

    private void endNotRun(NotRunReason reason, long retryAfterMillis) {
        stopTimers();
        mContext.metrics().notRun().inc();
        if (reason == NotRunReason.QUARANTINED) {
            mContext.metrics().quarantined().inc();
        } else if (reason == NotRunReason.LEAVING) {
            mContext.metrics().stopDeclined().inc();
        }
        mGate.addHeaders(mReply.headers());
        mContext.addAnswerHeaders(mGate.target(), mReply);
        Outcome.NotRun outcome = new Outcome.NotRun(reason, retryAfterMillis);
        mAcknowledgements.runAfterPendingWrite(() -> mReply.end(outcome));
    }

    private void stopTimers() {
        mReply.unwatch();
        mEarlyEnd.stopDeadline();
        mAcknowledgements.stop();
    }
}
