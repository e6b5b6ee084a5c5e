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
final class Acknowledgements {
    private static final long REPEAT_MILLIS = 1_000;

    private static final String PROCESSING = "guard";

    private final Scheduler mScheduler;
    private final Response mResponse;
    private final BooleanSupplier mIsOver;
    private final Consumer<HttpFields.Mutable> mOnHead;
    private CompletableFuture<Void> mInterim = CompletableFuture.completedFuture(null);
    private volatile Scheduler.Task mNext;

    /**
     * Creates what tells the entry.
     *
     * @param isOver whether the answer has begun, so that nothing is told any more
     * @param onHead adds to each interim answer what the entry should learn
     */
    Acknowledgements(
            Scheduler scheduler,
            Response response,
            BooleanSupplier isOver,
            Consumer<HttpFields.Mutable> onHead) {
        mScheduler = scheduler;
        mResponse = response;
        mIsOver = isOver;
        mOnHead = onHead;
    }

    /** Tells now, and again later. */
    synchronized void tell() {
        if (mIsOver.getAsBoolean()) {
            return;
        }
        HttpFields.Mutable fields = HttpFields.build().put(HttpHeader.SERVER, PROCESSING);
        mOnHead.accept(fields);
        mInterim = mResponse.writeInterim(HttpStatus.PROCESSING_102, fields.asImmutable());
        mNext = mScheduler.schedule(this::tell, REPEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs an action that writes; two writes at once would clash. */
    void after(Runnable action) {
        CompletableFuture<Void> interim;
        synchronized (this) {
            interim = mInterim;
        }
        interim.whenComplete((written, failure) -> action.run());
    }

    /** Tells no more. */
    void stop() {
        Scheduler.Task next = mNext;
        if (next != null) {
            next.cancel();
        }
    }
}
