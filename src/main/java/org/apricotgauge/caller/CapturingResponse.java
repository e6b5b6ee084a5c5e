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

/** A response that captures a copy of a small body while it is written. */
final class CapturingResponse extends Response.Wrapper {
    private static final long HEARTBEAT_MILLIS = 1_000;

    private final int mMaxBodyBytes;
    private final Scheduler mScheduler;
    private final ByteArrayOutputStream mCapturedBody = new ByteArrayOutputStream();
    private long mBodyBytes;
    private CompletableFuture<Void> mInterimWrite = CompletableFuture.completedFuture(null);
    private Scheduler.Task mHeartbeatTask;
    private boolean mHeartbeatStopped;

    CapturingResponse(Request request, Response response, int maxBodyBytes, Scheduler scheduler) {
        super(request, response);
        mMaxBodyBytes = maxBodyBytes;
        mScheduler = scheduler;
    }

    /**
     * Sends an interim response now and every second until the answer begins.
     *
     * <p>With a single interim response, the entry would treat a booking that takes seconds as a
     * dead path and retry it; its caller would get a 409 for a booking that is still running.
     */
    synchronized CompletableFuture<Void> sendHeartbeat() {
        if (mHeartbeatStopped) {
            return mInterimWrite;
        }
        if (mInterimWrite.isDone()) {
            mInterimWrite = super.writeInterim(HttpStatus.PROCESSING_102, HttpFields.EMPTY);
        }
        mHeartbeatTask =
                mScheduler.schedule(this::sendHeartbeat, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        return mInterimWrite;
    }

    synchronized CompletableFuture<Void> stopHeartbeat() {
        mHeartbeatStopped = true;
        if (mHeartbeatTask != null) {
            mHeartbeatTask.cancel();
        }
        return mInterimWrite;
    }

    @Override
    public void write(boolean last, ByteBuffer content, Callback callback) {
        capture(content);
        // A response permits only one write at a time.
        stopHeartbeat().whenComplete((written, failure) -> super.write(last, content, callback));
    }

    private synchronized void capture(ByteBuffer content) {
        if (content == null || !content.hasRemaining()) {
            return;
        }
        mBodyBytes += content.remaining();
        if (mBodyBytes <= mMaxBodyBytes) {
            byte[] bytes = new byte[content.remaining()];
            content.slice().get(bytes);
            mCapturedBody.writeBytes(bytes);
        }
    }

    /** Returns what was written, without the body if it exceeds the limit. */
    synchronized StoredAnswer storedAnswer() {
        if (mBodyBytes > mMaxBodyBytes) {
            return StoredAnswer.withoutBody(getStatus(), mBodyBytes);
        }
        String type = getHeaders().get(HttpHeader.CONTENT_TYPE);
        return new StoredAnswer(
                getStatus(),
                type == null ? "" : type,
                mBodyBytes,
                ByteBuffer.wrap(mCapturedBody.toByteArray()));
    }
}
