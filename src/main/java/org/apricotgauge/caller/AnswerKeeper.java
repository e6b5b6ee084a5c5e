package org.apricotgauge.caller;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.attempt.StoredAnswer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/** A response that keeps a copy of a small body while it is written. */
final class AnswerKeeper extends Response.Wrapper {
    private static final long HEARTBEAT_MILLIS = 1_000;

    private final int mLimitBytes;
    private final Scheduler mScheduler;
    private final ByteArrayOutputStream mKept = new ByteArrayOutputStream();
    private long mBodyBytes;
    private CompletableFuture<Void> mInterim = CompletableFuture.completedFuture(null);
    private Scheduler.Task mHeartbeat;
    private boolean mHeartbeatEnded;

    AnswerKeeper(Request request, Response response, int limitBytes, Scheduler scheduler) {
        super(request, response);
        mLimitBytes = limitBytes;
        mScheduler = scheduler;
    }

    /**
     * Says that the request is here, now and every second until the answer begins.
     *
     * <p>Said once only, a booking of some seconds looks to the entry like a dead path; the entry
     * asks again and its caller is told 409 for a booking that is well under way.
     */
    synchronized CompletableFuture<Void> acknowledge() {
        if (mHeartbeatEnded) {
            return mInterim;
        }
        if (mInterim.isDone()) {
            mInterim = super.writeInterim(HttpStatus.PROCESSING_102, HttpFields.EMPTY);
        }
        mHeartbeat =
                mScheduler.schedule(this::acknowledge, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        return mInterim;
    }

    synchronized CompletableFuture<Void> stopHeartbeat() {
        mHeartbeatEnded = true;
        if (mHeartbeat != null) {
            mHeartbeat.cancel();
        }
        return mInterim;
    }

    @Override
    public void write(boolean last, ByteBuffer content, Callback callback) {
        keep(content);
        // Two writes at once would clash.
        stopHeartbeat().whenComplete((written, failure) -> super.write(last, content, callback));
    }

    private synchronized void keep(ByteBuffer content) {
        if (content == null || !content.hasRemaining()) {
            return;
        }
        mBodyBytes += content.remaining();
        if (mBodyBytes <= mLimitBytes) {
            byte[] bytes = new byte[content.remaining()];
            content.slice().get(bytes);
            mKept.writeBytes(bytes);
        }
    }

    /** Returns what was written; without its body if that was too long. */
    synchronized StoredAnswer answer() {
        if (mBodyBytes > mLimitBytes) {
            return StoredAnswer.withoutBody(getStatus(), mBodyBytes);
        }
        String type = getHeaders().get(HttpHeader.CONTENT_TYPE);
        return new StoredAnswer(
                getStatus(),
                type == null ? "" : type,
                mBodyBytes,
                ByteBuffer.wrap(mKept.toByteArray()));
    }
}
