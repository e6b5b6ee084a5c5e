package org.apricotgauge.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

/**
 * Reads and writes small bodies whole; never used for what callers and targets send each other.
 *
 * <pre>{@code
 * Bodies.readAll(request, 65_536).thenAccept(this::parse);
 * Bodies.writeText(response, callback, 200, "ok\n");
 * }</pre>
 */
public final class Bodies {

    private static final int MAX_DISCARDED_BYTES = 16_384;

    private Bodies() {}

    /** Reads a body; the future fails if it breaks off or exceeds {@code maxBytes}. */
    public static CompletableFuture<byte[]> readAll(Content.Source source, int maxBytes) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        Content.Source.asByteArrayAsync(source, maxBytes, Promise.Invocable.toPromise(future));
        return future;
    }

    /**
     * Reads a short body that is of no interest, so that its connection can be used again.
     *
     * <p>A body of over {@link #MAX_DISCARDED_BYTES} is broken off, which closes the connection: a
     * new one costs less than reading on.
     */
    public static void discard(Content.Source source) {
        readAll(source, MAX_DISCARDED_BYTES)
                .whenComplete(
                        (bytes, failure) -> {
                            if (failure != null) {
                                source.fail(failure);
                            }
                        });
    }

    /** Answers with a short plain text. */
    public static void writeText(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain;charset=utf-8");
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
