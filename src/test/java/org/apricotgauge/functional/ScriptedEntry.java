package org.apricotgauge.functional;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.AttemptIdGenerator;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.client.Abortable;
import org.apricotgauge.http.client.UpstreamExchange;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.http.client.UpstreamResponse;
import org.apricotgauge.model.Address;
import org.apricotgauge.peer.hop.GuardTransport;
import org.apricotgauge.peer.hop.HopAttempt;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.ByteBufferContentSource;

/** A hand-written entry that sends single attempts to the guard of VM b and decides nothing. */
final class ScriptedEntry {
    private static final long WAIT_MILLIS = 10_000;
    private static final int MAX_BODY_BYTES = 1_000;

    private final AttemptIdGenerator mIds = new AttemptIdGenerator("test", 1);
    private final Hops mHops;
    private final Address mGuard;
    private final GuardTransport mTransport;

    /**
     * Creates an entry.
     *
     * @param vm VM whose connections it uses; VM b hands attempts over in the process
     */
    ScriptedEntry(Hops hops, String vm) {
        mHops = hops;
        mGuard = hops.vm("b").guardAddress();
        mTransport = hops.vm(vm).guards().transportTo(mGuard);
    }

    /** Sends an attempt of a GET request at a target, with further headers of the hop. */
    Sent send(String target, String path, long deadlineMillis, HttpFields hopHeaders) {
        long nowMillis = Ticker.system().millis();
        Attempt attempt =
                mHops.vm("a")
                        .guards()
                        .clockEstimate(mGuard, WAIT_MILLIS)
                        .join()
                        .newAttempt(mIds.next(), nowMillis, nowMillis + deadlineMillis);
        HttpFields headers =
                HttpFields.build(hopHeaders)
                        .put("Host", "site")
                        .put(Attempt.HEADER, attempt.toString())
                        .put(HeaderNames.TARGET, target)
                        .put(HeaderNames.TIMEOUT_MILLIS, deadlineMillis);
        Content.Source noBody = new ByteBufferContentSource(ByteBuffer.allocate(0));
        UpstreamRequest request = new UpstreamRequest(mGuard, "GET", path, headers, noBody);
        Sent sent = new Sent(attempt);
        sent.mExchange = mTransport.send(new HopAttempt(attempt, request, false), sent);
        return sent;
    }

    /** Cancels an attempt by a message to its guard. */
    void abandon(Sent sent) {
        mTransport.abandon(mGuard, sent.mAttempt, WAIT_MILLIS).join();
    }

    /** An attempt, and what the guard told of it. */
    static final class Sent implements UpstreamExchange.Listener {
        private final Attempt mAttempt;
        private final List<HttpFields> mAcknowledgements = new CopyOnWriteArrayList<>();
        private final CompletableFuture<UpstreamResponse> mResponse = new CompletableFuture<>();
        private volatile Content.Source mBody;
        private volatile Abortable mExchange;

        private Sent(Attempt attempt) {
            mAttempt = attempt;
        }

        @Override
        public void onAcknowledged(HttpFields fields) {
            mAcknowledgements.add(fields);
        }

        @Override
        public void onAnswer(UpstreamResponse response, Content.Source body) {
            mBody = body;
            mResponse.complete(response);
        }

        @Override
        public void onFailure(UpstreamExchange.Failure failure) {
            mResponse.completeExceptionally(failure.cause());
        }

        /** Closes the connection or stream of the attempt. */
        void disconnect() {
            mExchange.abort(new IllegalStateException("test"));
        }

        String attempt() {
            return mAttempt.toString();
        }

        boolean hasAnswer() {
            return mResponse.isDone();
        }

        /** Returns how many acknowledgements told that a further attempt is paid for. */
        long offers() {
            return mAcknowledgements.stream()
                    .filter(fields -> fields.contains(HeaderNames.NEXT_RETRY_PREPAID))
                    .count();
        }

        int acknowledgements() {
            return mAcknowledgements.size();
        }

        UpstreamResponse response() throws Exception {
            return mResponse.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** Returns the reason of an outcome without an answer; null with an answer. */
        String reason() throws Exception {
            return response().headers().get(HeaderNames.REASON);
        }

        boolean isPaid() throws Exception {
            return response().headers().contains(HeaderNames.NEXT_RETRY_PREPAID);
        }

        String body() throws Exception {
            response();
            byte[] bytes =
                    Bodies.readAll(mBody, MAX_BODY_BYTES).get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            return new String(bytes, StandardCharsets.US_ASCII);
        }
    }
}
