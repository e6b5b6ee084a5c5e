package org.apricotgauge.caller;

import org.apricotgauge.http.ForwardedHeaders;
import org.apricotgauge.http.UpstreamExchange;
import org.apricotgauge.model.Address;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;

/**
 * The one attempt at the older routing system, for a request in its share.
 *
 * <p>The request goes on as it came, with {@code Via} and without the fleet's own headers; the
 * answer passes as it is, whatever its status.
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
        org.eclipse.jetty.server.Request from = mExchange.request();
        Request to =
                mExchange
                        .context()
                        .directClient()
                        .newRequest(mPredecessor.host(), mPredecessor.port())
                        .method(from.getMethod())
                        .path(from.getHttpURI().getPathQuery());
        to.headers(headers -> ForwardedHeaders.copyRequest(from.getHeaders(), headers));
        to.body(mExchange.body().open());
        mUpstream = UpstreamExchange.send(to, this);
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
