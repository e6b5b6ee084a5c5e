package org.apricotgauge.peer.hop;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.client.Abortable;
import org.apricotgauge.http.client.FetchedResponse;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.model.Address;
import org.apricotgauge.target.GuardHandler;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Sends attempts to guards over persistent connections.
 *
 * <p>Each control request is sent over a separate connection that is used once, because the
 * connection that carried the attempt may be broken.
 */
final class HttpGuardTransport implements GuardTransport {
    private static final int MAX_CONTROL_BYTES = 256;

    private final UpstreamClient mForwardingClient;
    private final UpstreamClient mFencingClient;
    private final BiConsumer<Address, HttpFields> mOnHeaders;

    /**
     * Creates a transport.
     *
     * @param forwarding sends attempts over persistent connections
     * @param fencing sends control requests over new connections
     * @param onHeaders called with the headers of each answer to a control request
     */
    HttpGuardTransport(
            UpstreamClient forwarding,
            UpstreamClient fencing,
            BiConsumer<Address, HttpFields> onHeaders) {
        mForwardingClient = forwarding;
        mFencingClient = fencing;
        mOnHeaders = onHeaders;
    }

    @Override
    public boolean isRemote() {
        return true;
    }

    @Override
    public CompletableFuture<GuardStamp> stamp(Address guard, long timeoutMillis) {
        return sendControlRequest(guard, GuardHandler.CONTROL_STAMP, null, timeoutMillis)
                .thenApply(HttpGuardTransport::parseStamp);
    }

    private static GuardStamp parseStamp(FetchedResponse response) {
        String text = response.headers().get(GuardStamp.HEADER);
        return GuardStamp.parse(text == null ? "" : text)
                .orElseThrow(() -> new CompletionException(new IOException("no stamp: " + text)));
    }

    @Override
    public Abortable send(HopAttempt attempt, UpstreamExchange.Listener listener) {
        return mForwardingClient.send(attempt.request(), listener);
    }

    @Override
    public CompletableFuture<FenceAnswer> fence(
            Address guard, Attempt attempt, long timeoutMillis) {
        return sendControlRequest(guard, GuardHandler.CONTROL_FENCE, attempt, timeoutMillis)
                .thenApply(HttpGuardTransport::parseFenceAnswer);
    }

    @Override
    public CompletableFuture<FenceAnswer> abandon(
            Address guard, Attempt attempt, long timeoutMillis) {
        return sendControlRequest(guard, GuardHandler.CONTROL_ABANDON, attempt, timeoutMillis)
                .thenApply(HttpGuardTransport::parseFenceAnswer);
    }

    private CompletableFuture<FetchedResponse> sendControlRequest(
            Address guard, String command, Attempt attempt, long timeoutMillis) {
        // An idle connection may be as unresponsive as the one that carried the attempt. A fence
        // sent over it would get no answer, and a request that did not run would end as "unknown".
        mFencingClient.evictIdle(guard);
        HttpFields.Mutable headers =
                HttpFields.build()
                        .put(HttpHeader.CONNECTION, "close")
                        .put(HeaderNames.CONTROL, command);
        if (attempt != null) {
            headers.put(Attempt.HEADER, attempt.toString());
        }
        return mFencingClient
                .fetch(UpstreamRequest.get(guard, "/", headers), MAX_CONTROL_BYTES, timeoutMillis)
                .thenApply(response -> readControlResponse(guard, response));
    }

    private FetchedResponse readControlResponse(Address guard, FetchedResponse response) {
        mOnHeaders.accept(guard, response.headers());
        if (response.status() != HttpStatus.OK_200) {
            throw new CompletionException(
                    new IOException("guard " + guard + " answered " + response.status()));
        }
        return response;
    }

    private static FenceAnswer parseFenceAnswer(FetchedResponse response) {
        String text = new String(response.body(), StandardCharsets.UTF_8);
        String[] fields = text.strip().split(" ", 2);
        return new FenceAnswer(
                FenceAnswer.State.valueOf(fields[0]), Integer.parseInt(fields[1].strip()));
    }
}
