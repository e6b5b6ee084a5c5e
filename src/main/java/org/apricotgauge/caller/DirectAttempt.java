package org.apricotgauge.caller;

import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.UpstreamExchange;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;

/**
 * An attempt straight at a target that has no node beside it.
 *
 * <p>Nobody can fence it: once a byte was written, the request may have run.
 */
final class DirectAttempt implements TargetAttempt, UpstreamExchange.Listener {
    private final CallerExchange mExchange;
    private final EntryContext mContext;
    private final Candidate mCandidate;
    private final AttemptAccount mAccount;
    private volatile UpstreamExchange mUpstream;

    DirectAttempt(CallerExchange exchange, Candidate candidate) {
        mExchange = exchange;
        mContext = exchange.context();
        mCandidate = candidate;
        mAccount = new AttemptAccount(mContext, candidate);
    }

    @Override
    public void send() {
        mAccount.begin();
        org.eclipse.jetty.server.Request from = mExchange.request();
        Request to =
                mContext.direct()
                        .newRequest(mCandidate.target().host(), mCandidate.target().port())
                        .method(from.getMethod())
                        .path(from.getHttpURI().getPathQuery());
        long leftMillis = Math.max(1, mExchange.leftMillis());
        to.headers(
                headers -> {
                    ForwardedHeaders.copyRequest(from.getHeaders(), headers);
                    headers.put(HeaderNames.TIMEOUT_MILLIS, leftMillis);
                });
        to.body(mExchange.body().open());
        mUpstream = UpstreamExchange.send(to, this);
    }

    @Override
    public boolean onBegin() {
        return mExchange.mayBegin(this);
    }

    @Override
    public void onAnswer(Response answer, Content.Source body) {
        mAccount.observed(AttemptAccount.outcomeOf(answer.getStatus()));
        mExchange.answered(this, answer, body);
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
        over();
        mAccount.observed(ObservedOutcome.PATH_FAULT);
        mContext.metrics().pathFaults().inc();
        mExchange.attemptEnded(
                this,
                failure.progress() == UpstreamExchange.Progress.NOT_SENT
                        ? new Outcome.NotRun(NotRunReason.NEVER_SENT, 0)
                        : new Outcome.Unknown(UnknownReason.NO_GUARD));
    }

    @Override
    public void abandon() {
        over();
        mAccount.observed(ObservedOutcome.TIMEOUT);
        AttemptAccount.abort(mUpstream);
    }

    @Override
    public void over() {
        mAccount.over();
    }
}
