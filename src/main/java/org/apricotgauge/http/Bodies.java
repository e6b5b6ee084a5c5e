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

    private Bodies() {}

    /** Reads a body; the future fails if it breaks off or exceeds {@code maxBytes}. */
    public static CompletableFuture<byte[]> readAll(Content.Source source, int maxBytes) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        Content.Source.asByteArrayAsync(source, maxBytes, Promise.Invocable.toPromise(future));
        return future;
    }

    /** Answers with a short plain text. */
    public static void writeText(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain;charset=utf-8");
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
