package org.apricotgauge.caller;

import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.http.Fingerprints;
import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.TargetNotice;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.http.client.UpstreamResponse;
import org.apricotgauge.model.Address;
import org.apricotgauge.target.BrokenRun;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;

/**
 * An attempt sent directly to a target that has no guard.
 *
 * <p>It can't be fenced: once a byte was written, the request may have run.
 */
final class DirectAttempt implements TargetAttempt, UpstreamExchange.Listener {
    private final CallerExchange mExchange;
    private final EntryContext mContext;
    private final Candidate mCandidate;
    private final AttemptTracker mTracker;
    private volatile UpstreamExchange mUpstream;
    private volatile boolean mAbandoned;
    private volatile boolean mQuarantined;

    DirectAttempt(CallerExchange exchange, Candidate candidate) {
        mExchange = exchange;
        mContext = exchange.context();
        mCandidate = candidate;
        mTracker = new AttemptTracker(mContext, candidate);
    }

    @Override
    public void send() {
        mTracker.begin();
        int nodes = mContext.observer().nodeCount();
        if (!mCandidate.load().tryStartDirect(nodes, mContext.ticker().millis())) {
            end();
            mTracker.recordOutcome(ObservedOutcome.CANCELLED);
            mExchange.onAttemptEnded(this, new Outcome.NotRun(NotRunReason.BUSY, 0));
            return;
        }
        org.eclipse.jetty.server.Request callerRequest = mExchange.request();
        long remainingMillis = Math.max(1, mExchange.deadline().remainingMillis());
        HttpFields.Mutable headers = HttpFields.build();
        ForwardedHeaders.copyRequest(callerRequest.getHeaders(), headers);
        mExchange.callerRequest().requester().removeCredentials(headers);
        mContext.dialect()
                .addTargetHeaders(
                        headers,
                        mCandidate.target().id(),
                        remainingMillis,
                        mExchange.callerRequest().requester().forwardedMemberId());
        Address address = new Address(mCandidate.target().host(), mCandidate.target().port());
        mUpstream =
                mContext.directClient()
                        .send(
                                new UpstreamRequest(
                                        address,
                                        callerRequest.getMethod(),
                                        callerRequest.getHttpURI().getPathQuery(),
                                        headers,
                                        mExchange.quarantine().hashed(mExchange.openBody())),
                                this);
    }

    @Override
    public boolean onBegin() {
        mQuarantined = mExchange.quarantine().remainingQuarantineMillis() > 0;
        return !mQuarantined && mExchange.tryBegin(this);
    }

    @Override
    public void onAnswer(UpstreamResponse answer, Content.Source body) {
        TargetNotice notice = mContext.dialect().noticeOf(answer.headers());
        if (notice.leaving()) {
            mContext.observer().onTargetLeaving(mCandidate.target());
        }
        if (notice.unreadable().isEmpty()) {
            mCandidate.load().setStartLimit(notice.limit().orElse(null));
        }
        mTracker.recordOutcome(AttemptTracker.outcomeOf(answer.status()));
        if (HttpStatus.isSuccess(answer.status())) {
            mContext.quarantine().recordSuccess(mExchange.quarantine().fingerprint());
        }
        mContext.heldAnswers().pass(mExchange, this, answer, body);
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
        end();
        if (mQuarantined) {
            mTracker.recordOutcome(ObservedOutcome.CANCELLED);
            long quarantineMillis = mExchange.quarantine().remainingQuarantineMillis();
            mExchange.onAttemptEnded(
                    this, new Outcome.NotRun(NotRunReason.QUARANTINED, quarantineMillis));
            return;
        }
        mTracker.recordOutcome(ObservedOutcome.PATH_FAULT);
        mContext.metrics().pathFaults().inc();
        if (failure.progress() == UpstreamExchange.Progress.NOT_SENT) {
            mExchange.onAttemptEnded(this, new Outcome.NotRun(NotRunReason.NEVER_SENT, 0));
            return;
        }
        if (mAbandoned) {
            return;
        }
        mContext.exitDetector()
                .reportBrokenRun(mCandidate.target(), brokenRun())
                .whenComplete(
                        (ended, ignored) ->
                                mExchange.onAttemptEnded(
                                        this, new Outcome.Unknown(UnknownReason.NO_GUARD)));
    }

    private BrokenRun brokenRun() {
        return new BrokenRun(
                mContext.dialect().requestId(mExchange.request().getHeaders()),
                mExchange.quarantine().fingerprint(),
                Fingerprints.nameOf(mExchange.request()));
    }

    @Override
    public void abandon() {
        mAbandoned = true;
        end();
        mTracker.recordOutcome(ObservedOutcome.TIMEOUT);
        AttemptTracker.abort(mUpstream);
    }

    @Override
    public void end() {
        mTracker.end();
    }
}
