package org.apricotgauge.caller;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardClockEstimate;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.health.DegradationEstimate;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.Fingerprints;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.OutcomeCodec;
import org.apricotgauge.http.WithheldBody;
import org.apricotgauge.http.client.Abortable;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.http.client.UpstreamResponse;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.peer.hop.GuardTransport;
import org.apricotgauge.peer.hop.HopAttempt;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An attempt sent through the guard of the target.
 *
 * <p>A guard in another process acknowledges the attempt at once and then every second. Without an
 * acknowledgement in time, the guard is slow or the path to it is dead, and the attempt stays open.
 * If the request is idempotent, another attempt is made beside it. Otherwise, the attempt is fenced
 * over a new connection until the guard answers, and it counts as not run only if the guard says
 * so.
 */
final class GuardedAttempt implements TargetAttempt, UpstreamExchange.Listener {
    /** Longest wait for the answer to a fence, including a new connection. */
    static final long FENCE_TIMEOUT_MILLIS = 2_000;

    /** Time before the deadline that a guard may not use, so that its answer arrives in time. */
    private static final long MAX_DEADLINE_MARGIN_MILLIS = 100;

    /** The margin is at most the remaining time divided by this. */
    private static final long DEADLINE_MARGIN_DIVISOR = 10;

    /** Least degradation probability of a target right after a failure. */
    private static final double PROBABILITY_AFTER_FAILURE = 0.95;

    private final CallerExchange mExchange;
    private final EntryContext mContext;
    private final Candidate mCandidate;
    private final AttemptTracker mTracker;
    private final GuardTransport mTransport;
    private final SilentGuardCheck mGuardCheck;
    private final AtomicBoolean mFencing = new AtomicBoolean();
    private volatile Attempt mAttempt;
    private volatile long mHopStartMillis;
    private volatile Abortable mUpstream;
    private volatile Scheduler.Task mTimeoutTask;
    private volatile boolean mAcknowledged;
    private volatile boolean mBegun;
    private volatile boolean mNotBegun;

    /** Whether a further attempt is made beside this one, which is timed no more. */
    private volatile boolean mSetAside;

    private volatile boolean mConnectionLost;
    private volatile boolean mAnswered;

    /** Whether the guard has said that the answer was written. */
    private volatile boolean mCompleted;

    private volatile org.eclipse.jetty.client.Request.Content mBody;
    private volatile WithheldBody mWithheldBody;

    GuardedAttempt(CallerExchange exchange, Candidate candidate) {
        mExchange = exchange;
        mContext = exchange.context();
        mCandidate = candidate;
        mTracker = new AttemptTracker(mContext, candidate);
        mTransport = mContext.guards().transportTo(candidate.guard());
        mGuardCheck =
                new SilentGuardCheck(
                        mContext, candidate.guard(), this::hasEnded, this::onGuardGone);
        mAcknowledged = !mTransport.isRemote();
    }

    @Override
    public void send() {
        mTracker.begin();
        long waitMillis =
                Math.max(
                        1,
                        Math.min(
                                acknowledgementTimeoutMillis(),
                                mExchange.deadline().remainingMillis()));
        mContext.guards()
                .clockEstimate(mCandidate.guard(), waitMillis)
                .whenComplete(
                        (clockEstimate, failure) -> {
                            if (failure == null) {
                                sendTo(clockEstimate);
                            } else {
                                onGuardUnreachable();
                            }
                        });
    }

    private void onGuardUnreachable() {
        end();
        recordPathFailure();
        mTracker.recordOutcome(ObservedOutcome.PATH_FAULT);
        mContext.metrics().pathFaults().inc();
        mContext.guards().onConnectFailed(mCandidate.guard());
        mExchange.onAttemptEnded(this, new Outcome.NotRun(NotRunReason.NEVER_SENT, 0));
    }

    private void sendTo(GuardClockEstimate clockEstimate) {
        long remainingMillis = mExchange.deadline().remainingMillis();
        if (remainingMillis <= 0) {
            end();
            return;
        }
        long guardDeadlineMillis =
                mExchange.deadline().millis()
                        - Math.min(
                                MAX_DEADLINE_MARGIN_MILLIS,
                                remainingMillis / DEADLINE_MARGIN_DIVISOR);
        mAttempt =
                clockEstimate.newAttempt(
                        mContext.attemptIds().next(),
                        mContext.ticker().millis(),
                        guardDeadlineMillis);
        HopAttempt hopAttempt =
                new HopAttempt(
                        mAttempt,
                        newHopRequest(remainingMillis),
                        Fingerprints.hasBody(mExchange.request()));
        startTimeout(acknowledgementTimeoutMillis());
        mContext.metrics().countAttempt(mTransport.isRemote());
        mUpstream = mTransport.send(hopAttempt, this);
    }

    private UpstreamRequest newHopRequest(long remainingMillis) {
        HttpFields.Mutable headers =
                HopRequestHeaders.create(mExchange, mCandidate, mAttempt, remainingMillis);
        mExchange.retryWait().addHeaders(headers);
        if (mTransport.isRemote()) {
            mHopStartMillis = mContext.observer().addHopHeaders(headers);
        }
        return new UpstreamRequest(
                mCandidate.guard(),
                mExchange.request().getMethod(),
                mExchange.request().getHttpURI().getPathQuery(),
                headers,
                bodyToSend(headers));
    }

    private org.eclipse.jetty.client.Request.Content bodyToSend(HttpFields.Mutable headers) {
        org.eclipse.jetty.client.Request.Content body = mExchange.openBody();
        mBody = body;
        if (mTransport.isRemote() && Fingerprints.hasBody(mExchange.request())) {
            mWithheldBody = mContext.largeBodies().withhold(body, headers);
        }
        return mWithheldBody == null ? body : mWithheldBody;
    }

    private long acknowledgementTimeoutMillis() {
        return GuardTimeoutPolicy.DEFAULT.acknowledgementTimeoutMillis(
                mContext.lagMeter().lagMillis());
    }

    /** Returns whether nothing is waited for any more: the head of an answer came, or the end. */
    private boolean hasEnded() {
        return mAnswered || mTracker.isEnded();
    }

    private void startTimeout(long millis) {
        if (!mTransport.isRemote() || hasEnded()) {
            return;
        }
        cancelTimeout();
        mTimeoutTask =
                mContext.scheduler().schedule(this::onTimeout, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean onBegin() {
        mBegun = mExchange.tryBegin(this);
        mNotBegun = !mBegun;
        return mBegun;
    }

    @Override
    public void onAcknowledged(HttpFields fields) {
        mAcknowledged = true;
        LargeBodies.onAcknowledged(mWithheldBody, fields);
        mContext.guards().recordStamp(mCandidate.guard(), fields);
        if (mTransport.isRemote()) {
            mContext.observer().onGuardAcknowledged(fields, mHopStartMillis);
        }
        if (fields.contains(HeaderNames.NEXT_RETRY_PREPAID)) {
            mTracker.recordOutcome(ObservedOutcome.CANCELLED);
            setAside("guard offers a further attempt", UnknownReason.STARTED, true);
        } else if (!mSetAside) {
            startTimeout(
                    GuardTimeoutPolicy.DEFAULT.heartbeatTimeoutMillis(
                            mContext.lagMeter().lagMillis()));
        }
    }

    @Override
    public void onAnswer(UpstreamResponse answer, Content.Source body) {
        mAnswered = true;
        cancelTimeout();
        HttpFields headers = answer.headers();
        mContext.guards().recordStamp(mCandidate.guard(), headers);
        mContext.observer().onGuardAnswered(mCandidate.target(), headers);
        reportLoad(headers);
        if (headers.contains(HeaderNames.TARGET_LEAVING)) {
            mContext.observer().onTargetLeaving(mCandidate.target());
        }
        if (headers.contains(HeaderNames.NEXT_RETRY_PREPAID)) {
            mExchange.onRetryPrepaid(this);
        }
        Optional<Outcome> outcome = OutcomeCodec.read(headers);
        mExchange.retryWait().onGuardAnswered(mCandidate.target().id(), outcome, headers);
        if (outcome.isPresent()) {
            end();
            Bodies.discard(body, mContext.scheduler());
            mTracker.recordOutcome(ObservedOutcome.CANCELLED);
            if (outcome.get() instanceof Outcome.NotRun notRun
                    && notRun.reason() == NotRunReason.LEAVING
                    && mExchange
                            .retryState()
                            .fitsGuardStop(mContext.guards().stopMillis(mCandidate.guard()))) {
                // The guard declines all new work, not only what can't end before it does.
                mContext.guards().onConnectFailed(mCandidate.guard());
            }
            mExchange.onAttemptEnded(this, outcome.get());
            return;
        }
        // An answer to another attempt, on a desynchronized connection, must not reach the caller.
        if (!mAttempt.toString().equals(headers.get(Attempt.HEADER))) {
            end();
            body.fail(new IllegalStateException("answer to another attempt"));
            mContext.metrics().mismatchedAnswers().inc();
            mTracker.recordOutcome(ObservedOutcome.PATH_FAULT);
            mExchange.onAttemptEnded(this, new Outcome.Unknown(UnknownReason.ANSWER_LOST));
            return;
        }
        mTracker.recordOutcome(
                headers.contains(HeaderNames.NESTED_CALL_FAILED)
                        ? ObservedOutcome.CANCELLED
                        : AttemptTracker.outcomeOf(answer.status()));
        mContext.heldAnswers().pass(mExchange, this, answer, body);
    }

    private void reportLoad(HttpFields headers) {
        long loadPermille = headers.getLongField(HeaderNames.LOAD_PERMILLE);
        if (loadPermille >= 0) {
            mCandidate.load().reportLoad((int) loadPermille, mContext.ticker().nanos());
            String limit = headers.get(HeaderNames.TARGET_LIMIT);
            mCandidate.load().setStartLimit(StartLimit.parseOrNone(limit).orElse(null));
        }
        DegradationEstimate.Report.parse(headers.get(HeaderNames.HEALTH))
                .map(report -> report.receivedAt(mContext.ticker().millis()))
                .ifPresent(mCandidate.load()::reportDegradation);
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
        cancelTimeout();
        if (mNotBegun || hasEnded()) {
            end();
            return;
        }
        if (failure.progress() == UpstreamExchange.Progress.NOT_SENT) {
            onGuardUnreachable();
            return;
        }
        mConnectionLost = true;
        if (mExchange.callerRequest().idempotent()) {
            onConnectionLost();
        } else {
            fence();
        }
    }

    private void onTimeout() {
        if (hasEnded()) {
            return;
        }
        mContext.metrics().pathFaults().inc();
        mContext.guards().onUnresponsive(mCandidate.guard());
        if (!mBegun) {
            // Still waits for a connection; its failure proves that nothing was sent.
            startTimeout(acknowledgementTimeoutMillis());
            AttemptTracker.abort(mUpstream);
        } else if (mExchange.callerRequest().idempotent()) {
            recordPathFailure();
            mTracker.recordOutcome(ObservedOutcome.PATH_FAULT);
            setAside("guard is silent", UnknownReason.GUARD_UNREACHABLE, false);
        } else {
            fence();
            mGuardCheck.start();
        }
    }

    private void onGuardGone() {
        end();
        mTracker.recordOutcome(ObservedOutcome.PATH_FAULT);
        mExchange.recordStep("guard is gone");
        closeBody();
        AttemptTracker.abort(mUpstream);
        mExchange.onAttemptEnded(this, new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE));
    }

    /** Lets a further attempt be made while this one stays open: its target may be at work. */
    private void setAside(String step, UnknownReason why, boolean prepaid) {
        mSetAside = true;
        cancelTimeout();
        if (mTransport.isRemote()) {
            mGuardCheck.start();
        }
        mExchange.recordStep(step + (mAcknowledged ? ", which has the attempt" : ""));
        mExchange.onAttemptUnresponsive(this, why, prepaid);
    }

    // An idempotent request need not wait for what the guard knows of the attempt.
    private void onConnectionLost() {
        end();
        closeBody();
        recordPathFailure();
        mTracker.recordOutcome(ObservedOutcome.PATH_FAULT);
        mTransport.abandon(mCandidate.guard(), mAttempt, FENCE_TIMEOUT_MILLIS);
        mExchange.onAttemptEnded(this, new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE));
    }

    // Bytes were sent and no answer arrived. Only the guard can confirm that the attempt did not
    // run; once it has, it refuses the attempt should it still arrive.
    private void fence() {
        if (!mFencing.compareAndSet(false, true)) {
            return;
        }
        mContext.metrics().fences().inc();
        mTransport
                .fence(
                        mCandidate.guard(),
                        mAttempt,
                        FENCE_TIMEOUT_MILLIS
                                + acknowledgementTimeoutMillis()
                                - GuardTimeoutPolicy.DEFAULT.acknowledgementTimeoutMillis(0))
                .whenComplete(this::onFenceEnded);
    }

    // For some seconds, a path failure counts as if the target were degraded: non-idempotent
    // requests of this entry would time out in the same way.
    private void recordPathFailure() {
        mCandidate.load().recordFailure(PROBABILITY_AFTER_FAILURE, mContext.ticker().millis());
    }

    private void onFenceEnded(FenceAnswer answer, Throwable failure) {
        mContext.observer().onFenceEnded(mCandidate.target(), mAttempt.id().toString(), answer);
        mExchange.recordStep("fence: " + (answer == null ? failure : answer.state()));
        if (hasEnded()) {
            return;
        }
        recordPathFailure();
        if (!mConnectionLost && mayStillAnswer(answer)) {
            mFencing.set(false);
            if (mConnectionLost) {
                fence();
            }
            return;
        }
        end();
        mTracker.recordOutcome(
                answer == null ? ObservedOutcome.PATH_FAULT : ObservedOutcome.CANCELLED);
        AttemptTracker.abort(mUpstream);
        mExchange.onAttemptEnded(
                this,
                answer == null
                        ? new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE)
                        : answer.toOutcome());
    }

    /** Returns whether an answer may come on the connection that is open; asks again if needed. */
    private boolean mayStillAnswer(FenceAnswer answer) {
        if (answer == null) {
            startTimeout(acknowledgementTimeoutMillis());
            return true;
        }
        if (answer.state() == FenceAnswer.State.STARTED) {
            return true;
        }
        if (answer.state() == FenceAnswer.State.COMPLETED && !mCompleted) {
            // The fence has its own connection, and may have overtaken the answer.
            mCompleted = true;
            startTimeout(acknowledgementTimeoutMillis());
            return true;
        }
        return false;
    }

    @Override
    public void abandon() {
        abandon(mAcknowledged ? ObservedOutcome.TIMEOUT : ObservedOutcome.PATH_FAULT);
    }

    @Override
    public void cancel() {
        abandon(ObservedOutcome.CANCELLED);
    }

    private void abandon(ObservedOutcome outcome) {
        end();
        closeBody();
        mTracker.recordOutcome(outcome);
        Attempt attempt = mAttempt;
        if (attempt != null) {
            mTransport.abandon(mCandidate.guard(), attempt, FENCE_TIMEOUT_MILLIS);
        }
        AttemptTracker.abort(mUpstream);
    }

    private void closeBody() {
        org.eclipse.jetty.client.Request.Content body = mBody;
        if (body != null) {
            body.fail(new TimeoutException("attempt abandoned"));
        }
    }

    @Override
    public void end() {
        cancelTimeout();
        mTracker.end();
    }

    private void cancelTimeout() {
        Scheduler.Task timeoutTask = mTimeoutTask;
        if (timeoutTask != null) {
            timeoutTask.cancel();
        }
    }
}
