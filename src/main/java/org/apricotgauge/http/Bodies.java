package org.apricotgauge.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Reads and writes small bodies as a whole; not used for the bodies that callers and targets
 * exchange.
 *
 * <pre>{@code
 * Bodies.readAll(request, 65_536).thenAccept(this::parse);
 * Bodies.writeText(response, callback, 200, "ok\n");
 * }</pre>
 */
public final class Bodies {

    private static final int MAX_DISCARDED_BYTES = 16_384;
    private static final long MAX_DISCARD_MILLIS = 1_000;

    private Bodies() {}

    /** Reads a body; the future fails if the body is truncated or exceeds {@code maxBytes}. */
    public static CompletableFuture<byte[]> readAll(Content.Source source, int maxBytes) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        Content.Source.asByteArrayAsync(source, maxBytes, Promise.Invocable.toPromise(future));
        return future;
    }

    /**
     * Reads a body that must end within a time; it is aborted if the future fails, which closes its
     * connection.
     *
     * @param timeoutMillis time until the body must have ended, in milliseconds
     */
    public static CompletableFuture<byte[]> readAll(
            Content.Source source, int maxBytes, Scheduler scheduler, long timeoutMillis) {
        CompletableFuture<byte[]> future = readAll(source, maxBytes);
        if (!future.isDone()) {
            TimeoutException timeout =
                    new TimeoutException("body did not end within " + timeoutMillis + " ms");
            Scheduler.Task task =
                    scheduler.schedule(
                            () -> future.completeExceptionally(timeout),
                            timeoutMillis,
                            TimeUnit.MILLISECONDS);
            future.whenComplete((bytes, failure) -> task.cancel());
        }
        return future.whenComplete(
                (bytes, failure) -> {
                    if (failure != null) {
                        source.fail(failure);
                    }
                });
    }

    /**
     * Reads and discards a short body, so that its connection can be reused.
     *
     * <p>A body of more than {@link #MAX_DISCARDED_BYTES} bytes, or one that takes longer than
     * {@link #MAX_DISCARD_MILLIS}, is aborted, which closes the connection: a new one costs less
     * than reading on.
     */
    public static void discard(Content.Source source, Scheduler scheduler) {
        readAll(source, MAX_DISCARDED_BYTES, scheduler, MAX_DISCARD_MILLIS);
    }

    /** Writes a short plain-text response. */
    public static void writeText(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain;charset=utf-8");
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
