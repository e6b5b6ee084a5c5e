package org.apricotgauge.target;

import java.util.concurrent.CompletableFuture;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.http.DisconnectDetectingEndPoint;
import org.apricotgauge.http.Fingerprints;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.OutcomeCodec;
import org.apricotgauge.http.ResponseForwarder;
import org.apricotgauge.http.client.UpstreamResponse;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** The reply to an attempt that arrived over a connection. */
final class HttpHopReply implements HopReply {
    private final Request mRequest;
    private final Response mResponse;
    private final Callback mCallback;
    private volatile Runnable mOnEnded = () -> {};

    HttpHopReply(Request request, Response response, Callback callback) {
        mRequest = request;
        mResponse = response;
        mCallback = Callback.from(callback, () -> mOnEnded.run());
    }

    /** Returns the request as the guard reads it. */
    static HopRequest toHopRequest(Request request) {
        return new HopRequest(
                request.getMethod(),
                Request.getServerName(request),
                request.getHttpURI().getPathQuery(),
                request.getHeaders(),
                Fingerprints.hasBody(request),
                request,
                Request.getRemoteAddr(request));
    }

    @Override
    public boolean isRemote() {
        return true;
    }

    @Override
    public HttpFields.Mutable headers() {
        return mResponse.getHeaders();
    }

    @Override
    public CompletableFuture<Void> acknowledge(HttpFields fields) {
        // Jetty writes the headers of a 103 only. Entries of earlier releases drop this status, but
        // get no such header.
        boolean hasOffer = fields.contains(HeaderNames.NEXT_RETRY_PREPAID);
        return mResponse.writeInterim(
                hasOffer ? HttpStatus.EARLY_HINTS_103 : HttpStatus.PROCESSING_102, fields);
    }

    @Override
    public void watch(Runnable onDisconnected) {
        DisconnectDetectingEndPoint.watch(mRequest, onDisconnected);
    }

    @Override
    public void unwatch() {
        DisconnectDetectingEndPoint.unwatch(mRequest);
    }

    @Override
    public void whenEnded(Runnable action) {
        mOnEnded = action;
    }

    @Override
    public void end(Outcome outcome) {
        OutcomeCodec.write(mResponse, mCallback, outcome);
    }

    @Override
    public void answer(UpstreamResponse answer, Content.Source body, Callback whenCopied) {
        mResponse.setStatus(answer.status());
        ResponseForwarder.copyBody(answer, body, mResponse, whenCopied);
    }

    @Override
    public void complete() {
        mCallback.succeeded();
    }

    @Override
    public void fail(Throwable cause) {
        mCallback.failed(cause);
    }
}
