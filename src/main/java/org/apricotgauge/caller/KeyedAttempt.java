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
import org.apricotgauge.http.Outcomes;
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
    private final Address mHome;
    private final IdempotencyKey mKey;
    private volatile UpstreamExchange mUpstream;
    private volatile Scheduler.Task mSilence;

    KeyedAttempt(CallerExchange exchange, Candidate home, IdempotencyKey key) {
        mExchange = exchange;
        mContext = exchange.context();
        mHome = home.guard();
        mKey = key;
    }

    @Override
    public void send() {
        long waitMillis = Math.max(1, Math.min(firstWordMillis(), mExchange.leftMillis()));
        mContext.guards()
                .sighting(mHome, waitMillis)
                .whenComplete(
                        (sighting, failure) -> {
                            if (failure == null) {
                                sendTo(sighting);
                            } else {
                                mExchange.attemptEnded(
                                        this, new Outcome.NotRun(NotRunReason.NEVER_SENT, 0));
                            }
                        });
    }

    private void sendTo(GuardClockEstimate sighting) {
        Attempt attempt = mExchange.addressAtHome(sighting, mExchange.deadlineMillis());
        long leftMillis = Math.max(1, mExchange.leftMillis());
        org.eclipse.jetty.server.Request from = mExchange.request();
        Request to =
                mContext.guards()
                        .newRequest(mHome)
                        .method(from.getMethod())
                        .path(from.getHttpURI().getPathQuery());
        to.headers(
                headers -> {
                    ForwardedHeaders.copyRequest(from.getHeaders(), headers);
                    mExchange.asked().requester().hideCredentials(headers);
                    headers.put(HeaderNames.CONTROL, GuardHandler.CONTROL_KEYED);
                    headers.put(Attempt.HEADER, attempt.toString());
                    headers.put(HeaderNames.MEMBER, mKey.member());
                    headers.put(HeaderNames.TIMEOUT_MILLIS, leftMillis);
                });
        to.body(mExchange.body().open());
        awaitWord(firstWordMillis());
        mUpstream = UpstreamExchange.send(to, this);
    }

    private long firstWordMillis() {
        return SilencePolicy.DEFAULT.firstWordMillis(mContext.lag().lagMillis());
    }

    private void awaitWord(long millis) {
        cancelSilence();
        mSilence = mContext.scheduler().schedule(this::silent, millis, TimeUnit.MILLISECONDS);
    }

    private void silent() {
        mContext.metrics().pathFaults().inc();
        mContext.guards().wentSilent(mHome);
        AttemptAccount.abort(mUpstream);
        mExchange.attemptEnded(this, new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE));
    }

    @Override
    public boolean onBegin() {
        return mExchange.mayBegin(this);
    }

    @Override
    public void onAcknowledged(HttpFields fields) {
        mContext.guards().sighted(mHome, fields);
        awaitWord(SilencePolicy.DEFAULT.silenceMillis(mContext.lag().lagMillis()));
    }

    @Override
    public void onAnswer(Response answer, Content.Source body) {
        cancelSilence();
        mContext.guards().sighted(mHome, answer.getHeaders());
        Optional<Outcome> outcome = Outcomes.read(answer.getHeaders());
        if (outcome.isPresent()) {
            body.fail(new IllegalStateException("an outcome has no body of interest"));
            mExchange.attemptEnded(this, outcome.get());
            return;
        }
        mExchange.answered(this, answer, body);
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
        cancelSilence();
        boolean notSent = failure.progress() == UpstreamExchange.Progress.NOT_SENT;
        mExchange.attemptEnded(
                this,
                notSent
                        ? new Outcome.NotRun(NotRunReason.NEVER_SENT, 0)
                        : new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE));
    }

    @Override
    public void abandon() {
        cancelSilence();
        AttemptAccount.abort(mUpstream);
    }

    @Override
    public void over() {
        cancelSilence();
    }

    private void cancelSilence() {
        Scheduler.Task silence = mSilence;
        if (silence != null) {
            silence.cancel();
        }
    }
}
