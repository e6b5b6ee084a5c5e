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

    private Bodies() {}

    /** Reads a body; the future fails if the body is truncated or exceeds {@code maxBytes}. */
    public static CompletableFuture<byte[]> readAll(Content.Source source, int maxBytes) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        Content.Source.asByteArrayAsync(source, maxBytes, Promise.Invocable.toPromise(future));
        return future;
    }

    /**
     * Reads and discards a short body, so that its connection can be reused.
     *
     * <p>A body of more than {@link #MAX_DISCARDED_BYTES} bytes is aborted, which closes the
     * connection: a new one costs less than reading on.
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

    /** Writes a short plain-text response. */
    public static void writeText(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain;charset=utf-8");
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
