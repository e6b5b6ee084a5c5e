package org.apricotgauge.caller;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.ResponseForwarder;
import org.apricotgauge.http.client.UpstreamResponse;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A target's failed answer, buffered while another target is tried.
 *
 * <p>If no other target answers, the caller gets this answer, with the headers of its target,
 * rather than the fleet's own, which has less information.
 */
final class BufferedAnswer {
    /** Failed answers are short; a longer one is not buffered. */
    private static final int MAX_BODY_BYTES = 16_384;

    private final UpstreamResponse mHead;
    private final byte[] mBody;

    private BufferedAnswer(UpstreamResponse head, byte[] body) {
        mHead = head;
        mBody = body;
    }

    /**
     * Reads the complete answer; fails if it is truncated, or too long or too slow to be buffered.
     *
     * @param timeoutMillis time until the body must have ended, in milliseconds
     */
    static CompletableFuture<BufferedAnswer> read(
            UpstreamResponse head, Content.Source body, Scheduler scheduler, long timeoutMillis) {
        return Bodies.readAll(body, MAX_BODY_BYTES, scheduler, timeoutMillis)
                .thenApply(bytes -> new BufferedAnswer(head, bytes));
    }

    int status() {
        return mHead.status();
    }

    /** Writes this answer as the final one. */
    void write(Response response, Callback callback) {
        ResponseForwarder.copyHead(mHead, response);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, mBody.length);
        response.write(true, ByteBuffer.wrap(mBody), callback);
    }
}
