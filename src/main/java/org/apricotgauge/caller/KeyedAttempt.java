package org.apricotgauge.caller;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.GuardClockEstimate;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.OutcomeCodec;
import org.apricotgauge.http.client.Abortable;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.http.client.UpstreamResponse;
import org.apricotgauge.model.Address;
import org.apricotgauge.target.GuardHandler;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An attempt at the owner of the request's Idempotency-Key.
 *
 * <p>The owner runs the key at most once, however often the request reaches it. A retry is
 * therefore safe at the owner, and only there. If the owner is silent, one is made beside the open
 * attempt, over a new connection.
 */
final class KeyedAttempt implements TargetAttempt, UpstreamExchange.Listener {
    private final CallerExchange mExchange;
    private final EntryContext mContext;
    private final Address mOwner;
    private final IdempotencyKey mKey;
    private volatile Abortable mUpstream;
    private volatile Scheduler.Task mTimeoutTask;
    private final SilentGuardCheck mGuardCheck;
    private volatile boolean mBegun;
    private volatile boolean mSetAside;
    private volatile boolean mEnded;

    KeyedAttempt(CallerExchange exchange, Candidate owner, IdempotencyKey key) {
        mExchange = exchange;
        mContext = exchange.context();
        mOwner = owner.guard();
        mKey = key;
        mGuardCheck = new SilentGuardCheck(mContext, mOwner, () -> mEnded, this::onOwnerGone);
    }

    private void onOwnerGone() {
        mEnded = true;
        mExchange.recordStep("owner is gone");
        AttemptTracker.abort(mUpstream);
        mExchange.onAttemptEnded(this, new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE));
    }

    @Override
    public void send() {
        long waitMillis =
                Math.max(
                        1,
                        Math.min(
                                acknowledgementTimeoutMillis(),
                                mExchange.deadline().remainingMillis()));
        mContext.guards()
                .clockEstimate(mOwner, waitMillis)
                .whenComplete(
                        (clockEstimate, failure) -> {
                            if (failure == null) {
                                sendTo(clockEstimate);
                            } else {
                                mExchange.onAttemptEnded(
                                        this, new Outcome.NotRun(NotRunReason.NEVER_SENT, 0));
                            }
                        });
    }

    private void sendTo(GuardClockEstimate clockEstimate) {
        Attempt attempt = mExchange.retryState().newOwnerAttempt(clockEstimate);
        long remainingMillis = Math.max(1, mExchange.deadline().remainingMillis());
        org.eclipse.jetty.server.Request callerRequest = mExchange.request();
        HttpFields.Mutable headers = HttpFields.build();
        ForwardedHeaders.copyRequest(callerRequest.getHeaders(), headers);
        mExchange.callerRequest().requester().removeCredentials(headers);
        headers.put(HeaderNames.CONTROL, GuardHandler.CONTROL_KEYED);
        headers.put(Attempt.HEADER, attempt.toString());
        headers.put(HeaderNames.MEMBER, mKey.member());
        headers.put(HeaderNames.TIMEOUT_MILLIS, remainingMillis);
        UpstreamRequest request =
                new UpstreamRequest(
                        mOwner,
                        callerRequest.getMethod(),
                        callerRequest.getHttpURI().getPathQuery(),
                        headers,
                        mExchange.openBody());
        startTimeout(acknowledgementTimeoutMillis());
        mUpstream = mContext.guards().send(request, this);
    }

    private long acknowledgementTimeoutMillis() {
        return GuardTimeoutPolicy.DEFAULT.acknowledgementTimeoutMillis(
                mContext.lagMeter().lagMillis());
    }

    private void startTimeout(long millis) {
        cancelTimeout();
        mTimeoutTask =
                mContext.scheduler().schedule(this::onTimeout, millis, TimeUnit.MILLISECONDS);
    }

    private void onTimeout() {
        if (mEnded || mSetAside) {
            return;
        }
        mContext.metrics().pathFaults().inc();
        mContext.guards().onUnresponsive(mOwner);
        if (!mBegun) {
            startTimeout(acknowledgementTimeoutMillis());
            // Still waits for a connection; its failure proves that nothing was sent.
            AttemptTracker.abort(mUpstream);
            return;
        }
        mSetAside = true;
        mExchange.recordStep("owner is silent");
        mGuardCheck.start();
        mExchange.onAttemptUnresponsive(this, UnknownReason.GUARD_UNREACHABLE, false);
    }

    @Override
    public boolean onBegin() {
        mBegun = mExchange.tryBegin(this);
        return mBegun;
    }

    @Override
    public void onAcknowledged(HttpFields fields) {
        mContext.guards().recordStamp(mOwner, fields);
        startTimeout(
                GuardTimeoutPolicy.DEFAULT.heartbeatTimeoutMillis(mContext.lagMeter().lagMillis()));
    }

    @Override
    public void onAnswer(UpstreamResponse answer, Content.Source body) {
        mEnded = true;
        cancelTimeout();
        mContext.guards().recordStamp(mOwner, answer.headers());
        Optional<Outcome> outcome = OutcomeCodec.read(answer.headers());
        if (isRunningElsewhere(answer)) {
            Bodies.discard(body, mContext.scheduler());
            mExchange.onAttemptEnded(this, new Outcome.Unknown(UnknownReason.KEY_RUNNING));
            return;
        }
        if (outcome.isPresent()) {
            body.fail(new IllegalStateException("the body of an outcome is not read"));
            mExchange.onAttemptEnded(this, outcome.get());
            return;
        }
        mExchange.onAnswer(this, answer, body);
    }

    /** Returns whether the owner says that an earlier attempt, which is still open, is at work. */
    private boolean isRunningElsewhere(UpstreamResponse answer) {
        return answer.status() == HttpStatus.CONFLICT_409
                && answer.headers().contains(HttpHeader.RETRY_AFTER)
                && mExchange.hasEarlierAttempt();
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
        mEnded = true;
        cancelTimeout();
        boolean notSent = failure.progress() == UpstreamExchange.Progress.NOT_SENT;
        mExchange.onAttemptEnded(
                this,
                notSent
                        ? new Outcome.NotRun(NotRunReason.NEVER_SENT, 0)
                        : new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE));
    }

    @Override
    public void abandon() {
        mEnded = true;
        cancelTimeout();
        AttemptTracker.abort(mUpstream);
    }

    @Override
    public void end() {
        mEnded = true;
        cancelTimeout();
    }

    private void cancelTimeout() {
        Scheduler.Task timeoutTask = mTimeoutTask;
        if (timeoutTask != null) {
            timeoutTask.cancel();
        }
    }
}
