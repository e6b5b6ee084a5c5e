package org.apricotgauge.caller;

import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.http.Fingerprints;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.TargetNotice;
import org.apricotgauge.http.UpstreamExchange;
import org.apricotgauge.target.BrokenRun;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;
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
    private volatile boolean mAbandoned;
    private volatile boolean mWithheld;

    DirectAttempt(CallerExchange exchange, Candidate candidate) {
        mExchange = exchange;
        mContext = exchange.context();
        mCandidate = candidate;
        mAccount = new AttemptAccount(mContext, candidate);
    }

    @Override
    public void send() {
        mAccount.begin();
        int nodes = mContext.observer().nodes();
        if (!mCandidate.load().tryStartDirect(nodes, mContext.ticker().millis())) {
            over();
            mAccount.observed(ObservedOutcome.CANCELLED);
            mExchange.attemptEnded(this, new Outcome.NotRun(NotRunReason.BUSY, 0));
            return;
        }
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
                    mExchange.asked().requester().hideCredentials(headers);
                    mContext.dialect()
                            .towardsTarget(
                                    headers,
                                    mCandidate.target().id(),
                                    leftMillis,
                                    mExchange.asked().requester().told());
                });
        to.body(mExchange.quarantine().hashedBody());
        mUpstream = UpstreamExchange.send(to, this);
    }

    @Override
    public boolean onBegin() {
        mWithheld = mExchange.quarantine().heldMillis() > 0;
        return !mWithheld && mExchange.mayBegin(this);
    }

    @Override
    public void onAnswer(Response answer, Content.Source body) {
        TargetNotice notice = mContext.dialect().noticeOf(answer.getHeaders());
        if (notice.leaving()) {
            mContext.observer().targetLeaving(mCandidate.target());
        }
        if (notice.unreadable().isEmpty()) {
            mCandidate.load().setStartLimit(notice.limit().orElse(null));
        }
        mAccount.observed(AttemptAccount.outcomeOf(answer.getStatus()));
        if (HttpStatus.isSuccess(answer.getStatus())) {
            mContext.quarantine().recordSuccess(mExchange.quarantine().fingerprint());
        }
        mExchange.answered(this, answer, body);
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
        over();
        if (mWithheld) {
            mAccount.observed(ObservedOutcome.CANCELLED);
            long heldMillis = mExchange.quarantine().heldMillis();
            mExchange.attemptEnded(this, new Outcome.NotRun(NotRunReason.QUARANTINED, heldMillis));
            return;
        }
        mAccount.observed(ObservedOutcome.PATH_FAULT);
        mContext.metrics().pathFaults().inc();
        if (failure.progress() == UpstreamExchange.Progress.NOT_SENT) {
            mExchange.attemptEnded(this, new Outcome.NotRun(NotRunReason.NEVER_SENT, 0));
            return;
        }
        if (mAbandoned) {
            return;
        }
        mContext.exits()
                .broken(mCandidate.target(), run())
                .whenComplete(
                        (told, ignored) ->
                                mExchange.attemptEnded(
                                        this, new Outcome.Unknown(UnknownReason.NO_GUARD)));
    }

    private BrokenRun run() {
        return new BrokenRun(
                mContext.dialect().requestId(mExchange.request().getHeaders()),
                mExchange.quarantine().fingerprint(),
                Fingerprints.nameOf(mExchange.request()));
    }

    @Override
    public void abandon() {
        mAbandoned = true;
        over();
        mAccount.observed(ObservedOutcome.TIMEOUT);
        AttemptAccount.abort(mUpstream);
    }

    @Override
    public void over() {
        mAccount.over();
    }
}
