package org.apricotgauge.target;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Tells an entry, by interim answers, that its request is here: at once, and each second after.
 *
 * <pre>{@code
 * acknowledgements.tell();
 * acknowledgements.after(() -> writeAnswer());
 * }</pre>
 *
 * <p>An entry that hears none knows of a dead path long before the deadline. Thread-safe.
 */
final class AcknowledgementSender {
    private static final long INTERVAL_MILLIS = 1_000;

    private static final String SERVER_NAME = "guard";

    private final Scheduler mScheduler;
    private final Response mResponse;
    private final BooleanSupplier mHasAnswerBegun;
    private final Consumer<HttpFields.Mutable> mHeaderWriter;
    private CompletableFuture<Void> mPendingWrite = CompletableFuture.completedFuture(null);
    private volatile Scheduler.Task mNextSend;

    /**
     * Creates what tells the entry.
     *
     * @param isOver whether the answer has begun, so that nothing is told any more
     * @param onHead adds to each interim answer what the entry should learn
     */
    AcknowledgementSender(
            Scheduler scheduler,
            Response response,
            BooleanSupplier isOver,
            Consumer<HttpFields.Mutable> onHead) {
        mScheduler = scheduler;
        mResponse = response;
        mHasAnswerBegun = isOver;
        mHeaderWriter = onHead;
    }

    /** Tells now, and again later. */
    synchronized void send() {
        if (mHasAnswerBegun.getAsBoolean()) {
            return;
        }
        HttpFields.Mutable fields = HttpFields.build().put(HttpHeader.SERVER, SERVER_NAME);
        mHeaderWriter.accept(fields);
        mPendingWrite = mResponse.writeInterim(HttpStatus.PROCESSING_102, fields.asImmutable());
        mNextSend = mScheduler.schedule(this::send, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs an action that writes; two writes at once would clash. */
    void runAfterPendingWrite(Runnable action) {
        CompletableFuture<Void> interim;
        synchronized (this) {
            interim = mPendingWrite;
        }
        interim.whenComplete((written, failure) -> action.run());
    }

    /** Tells no more. */
    void stop() {
        Scheduler.Task next = mNextSend;
        if (next != null) {
            next.cancel();
        }
    }
}
