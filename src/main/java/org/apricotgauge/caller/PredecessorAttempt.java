package org.apricotgauge.caller;

import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.http.client.UpstreamResponse;
import org.apricotgauge.model.Address;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;

/**
 * The only attempt of a request that is in the share of the predecessor, the older routing system.
 *
 * <p>The request is forwarded as received, with {@code Via} and without the fleet's own headers.
 * The answer is forwarded unchanged, whatever its status.
 */
final class PredecessorAttempt implements TargetAttempt, UpstreamExchange.Listener {
    private final CallerExchange mExchange;
    private final Address mPredecessor;
    private volatile UpstreamExchange mUpstream;

    PredecessorAttempt(CallerExchange exchange, Address predecessor) {
        mExchange = exchange;
        mPredecessor = predecessor;
    }

    @Override
    public void send() {
        org.eclipse.jetty.server.Request callerRequest = mExchange.request();
        HttpFields.Mutable headers = HttpFields.build();
        ForwardedHeaders.copyRequest(callerRequest.getHeaders(), headers);
        mUpstream =
                mExchange
                        .context()
                        .directClient()
                        .send(
                                new UpstreamRequest(
                                        mPredecessor,
                                        callerRequest.getMethod(),
                                        callerRequest.getHttpURI().getPathQuery(),
                                        headers,
                                        mExchange.body().open()),
                                this);
    }

    @Override
    public boolean onBegin() {
        return mExchange.tryBegin(this);
    }

    @Override
    public void onAnswer(UpstreamResponse answer, Content.Source body) {
        mExchange.onAnswer(this, answer, body);
    }

    @Override
    public void onFailure(UpstreamExchange.Failure failure) {
        mExchange.onPredecessorFailed(
                this, failure.progress() == UpstreamExchange.Progress.NOT_SENT);
    }

    @Override
    public void abandon() {
        AttemptTracker.abort(mUpstream);
    }

    @Override
    public void end() {}
}
