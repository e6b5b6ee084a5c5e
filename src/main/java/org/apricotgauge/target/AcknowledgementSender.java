package org.apricotgauge.target;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apricotgauge.http.HeaderNames;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Acknowledges a request to its entry, at once and every second, if the path to it may break.
 *
 * <pre>{@code
 * acknowledgements.send();
 * acknowledgements.runAfterPendingWrite(() -> writeAnswer());
 * }</pre>
 *
 * <p>An entry that receives none detects a broken path long before the deadline. Thread-safe.
 */
final class AcknowledgementSender {
    private static final long INTERVAL_MILLIS = 1_000;

    private static final String SERVER_NAME = "guard";

    private final Scheduler mScheduler;
    private final HopReply mReply;
    private final BooleanSupplier mHasAnswerBegun;
    private final Consumer<HttpFields.Mutable> mHeaderWriter;
    private CompletableFuture<Void> mPendingWrite = CompletableFuture.completedFuture(null);
    private volatile Scheduler.Task mNextSend;

    /** Whether the entry sends the body only once it is asked for it. */
    private boolean mBodyWithheld;

    /**
     * Creates a sender that has sent nothing yet.
     *
     * @param hasAnswerBegun whether the answer has begun, so that no acknowledgement may be sent
     * @param headerWriter adds the guard's headers to each acknowledgement
     * @param bodyWithheld whether the entry sends the body only once it is asked for it
     */
    AcknowledgementSender(
            Scheduler scheduler,
            HopReply reply,
            BooleanSupplier hasAnswerBegun,
            Consumer<HttpFields.Mutable> headerWriter,
            boolean bodyWithheld) {
        mScheduler = scheduler;
        mReply = reply;
        mHasAnswerBegun = hasAnswerBegun;
        mHeaderWriter = headerWriter;
        mBodyWithheld = bodyWithheld;
    }

    /** Sends an acknowledgement now and schedules the next one. */
    void send() {
        if (mReply.isRemote()) {
            tell(fields -> true);
        }
    }

    /**
     * Sends an acknowledgement that tells the entry something else, also within the process.
     *
     * @param writer adds what is told; returns false if there is nothing to tell any more
     * @return whether it is sent, which it is not once the answer has begun
     */
    boolean tell(Predicate<HttpFields.Mutable> writer) {
        HttpFields.Mutable fields = HttpFields.build().put(HttpHeader.SERVER, SERVER_NAME);
        CompletableFuture<Void> write = new CompletableFuture<>();
        CompletableFuture<Void> writeBefore;
        synchronized (this) {
            if (mHasAnswerBegun.getAsBoolean() || !writer.test(fields)) {
                return false;
            }
            if (mReply.isRemote()) {
                addHeaders(fields);
                stop();
                mNextSend = mScheduler.schedule(this::send, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
            writeBefore = mPendingWrite;
            mPendingWrite = write;
        }
        // Without the lock: an entry in this process may answer by giving the attempt up.
        writeBefore
                .thenCompose(ignored -> mReply.acknowledge(fields.asImmutable()))
                .whenComplete((written, failure) -> write.complete(null));
        return true;
    }

    private void addHeaders(HttpFields.Mutable fields) {
        mHeaderWriter.accept(fields);
        if (mBodyWithheld) {
            fields.put(HeaderNames.BODY_ON_DEMAND, HeaderNames.BODY_WITHHELD);
        }
    }

    /** Asks the entry for the body, if it has not been sent. */
    void askForBody() {
        synchronized (this) {
            if (!mBodyWithheld) {
                return;
            }
            mBodyWithheld = false;
        }
        send();
    }

    /** Runs an action that writes to the reply; two concurrent writes are not allowed. */
    void runAfterPendingWrite(Runnable action) {
        CompletableFuture<Void> pendingWrite;
        synchronized (this) {
            pendingWrite = mPendingWrite;
        }
        pendingWrite.whenComplete((written, failure) -> action.run());
    }

    /** Stops sending acknowledgements. */
    void stop() {
        Scheduler.Task next = mNextSend;
        if (next != null) {
            next.cancel();
        }
    }
}
