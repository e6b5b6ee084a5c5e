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
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.OutcomeCodec;
import org.apricotgauge.http.UpstreamExchange;
import org.apricotgauge.model.Address;
import org.apricotgauge.target.GuardHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An attempt at the node that remembers the request's Idempotency-Key.
 *
 * <p>That node runs the key at most once, whatever reaches it, so that sending again to it is safe
 * where nothing else would be; and only to it. Silence leads to a new attempt over a new
 * connection, not to a fence.
 */
final class KeyedAttempt implements TargetAttempt, UpstreamExchange.Listener {
    private final CallerExchange mExchange;
    private final EntryContext mContext;
    private final Address mOwner;
    private final IdempotencyKey mKey;
    private volatile UpstreamExchange mUpstream;
    private volatile Scheduler.Task mTimeoutTask;

    KeyedAttempt(CallerExchange exchange, Candidate home, IdempotencyKey key) {
        mExchange = exchange;
        mContext = exchange.context();
        mOwner = home.guard();
        mKey = key;
    }

    @Override
    public void send() {
        long waitMillis =
                Math.max(1, Math.min(acknowledgementTimeoutMillis(), mExchange.remainingMillis()));
        mContext.guards()
                .clockEstimate(mOwner, waitMillis)
                .whenComplete(
                        (sighting, failure) -> {
                            if (failure == null) {
                                sendTo(sighting);
                            } else {
                                mExchange.onAttemptEnded(
                                        this, new Outcome.NotRun(NotRunReason.NEVER_SENT, 0));
                            }
                        });
    }

    private void sendTo(GuardClockEstimate sighting) {
        Attempt attempt = mExchange.newOwnerAttempt(sighting, mExchange.deadlineMillis());
        long leftMillis = Math.max(1, mExchange.remainingMillis());
        org.eclipse.jetty.server.Request from = mExchange.request();
        Request to =
                mContext.guards()
                        .newRequest(mOwner)
                        .method(from.getMethod())
                        .path(from.getHttpURI().getPathQuery());
        to.headers(
                headers -> {
                    ForwardedHeaders.copyRequest(from.getHeaders(), headers);
                    mExchange.callerRequest().requester().removeCredentials(headers);
                    headers.put(HeaderNames.CONTROL, GuardHandler.CONTROL_KEYED);
                    headers.put(Attempt.HEADER, attempt.toString());
                    headers.put(HeaderNames.MEMBER, mKey.member());
                    headers.put(HeaderNames.TIMEOUT_MILLIS, leftMillis);
                });
        to.body(mExchange.body().open());
        startTimeout(acknowledgementTimeoutMillis());
        mUpstream = UpstreamExchange.send(to, this);
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
        mContext.metrics().pathFaults().inc();
        mContext.guards().onUnresponsive(mOwner);
        AttemptTracker.abort(mUpstream);
        mExchange.onAttemptEnded(this, new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE));
    }

    @Override
    public boolean onBegin() {
        return mExchange.tryBegin(this);
    }

    @Override
    public void onAcknowledged(HttpFields fields) {
        mContext.guards().recordStamp(mOwner, fields);
        startTimeout(
                GuardTimeoutPolicy.DEFAULT.heartbeatTimeoutMillis(mContext.lagMeter().lagMillis()));
    }

    @Override
    public void onAnswer(Response answer, Content.Source body) {
        cancelTimeout();
        mContext.guards().recordStamp(mOwner, answer.getHeaders());
        Optional<Outcome> outcome = OutcomeCodec.read(answer.getHeaders());
        if (outcome.isPresent()) {
            body.fail(new IllegalStateException("an outcome has no body of interest"));
            mExchange.onAttemptEnded(this, outcome.get());
            return;
        }
        mExchange.onAnswer(this, answer, body);
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
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
        cancelTimeout();
        AttemptTracker.abort(mUpstream);
    }

    @Override
    public void end() {
        cancelTimeout();
    }

    private void cancelTimeout() {
        Scheduler.Task silence = mTimeoutTask;
        if (silence != null) {
            silence.cancel();
        }
    }
}
