package org.apricotgauge.caller;

import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.UpstreamExchange;
import org.apricotgauge.model.Address;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
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
        Request upstreamRequest =
                mExchange
                        .context()
                        .directClient()
                        .newRequest(mPredecessor.host(), mPredecessor.port())
                        .method(callerRequest.getMethod())
                        .path(callerRequest.getHttpURI().getPathQuery());
        upstreamRequest.headers(
                headers -> ForwardedHeaders.copyRequest(callerRequest.getHeaders(), headers));
        upstreamRequest.body(mExchange.body().open());
        mUpstream = UpstreamExchange.send(upstreamRequest, this);
    }

    @Override
    public boolean onBegin() {
        return mExchange.tryBegin(this);
    }

    @Override
    public void onAnswer(Response answer, Content.Source body) {
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
