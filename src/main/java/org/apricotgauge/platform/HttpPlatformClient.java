package org.apricotgauge.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.http.client.ResetDetectingConnector;
import org.apricotgauge.model.Checks;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Reads the platform over HTTP with Jetty's client.
 *
 * <pre>{@code
 * PlatformClient client = HttpPlatformClient.open(URI.create("http://127.0.0.1:8500"));
 * }</pre>
 *
 * <p>Protocol: {@code GET /v1/log?from=P&limit=N&waitMillis=W}, {@code GET
 * /v1/vms?since=R&limit=N&waitMillis=W}, {@code GET /v1/snapshot/latest} and {@code GET
 * /v1/snapshot/POSITION/CHUNK}; bodies are JSON but for chunks, which are bytes.
 */
public final class HttpPlatformClient implements PlatformClient {
    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final int MAX_ANSWER_BYTES = 2 << 20;
    private static final long MARGIN_MILLIS = 5_000;
    private static final int MAX_THREADS = 6;

    private final HttpClient mHttp;
    private final boolean mOwnsHttp;
    private final URI mBase;

    /**
     * Creates a client on a started HTTP client that stays its owner's.
     *
     * @param http started HTTP client
     * @param base address of the platform, such as {@code http://127.0.0.1:8500}
     */
    public HttpPlatformClient(HttpClient http, URI base) {
        this(http, base, false);
    }

    private HttpPlatformClient(HttpClient http, URI base, boolean ownsHttp) {
        mHttp = Checks.notNull("http", http);
        mBase = Checks.notNull("base", base);
        mOwnsHttp = ownsHttp;
    }

    /**
     * Creates a client with an HTTP client of its own, which {@link #close()} stops.
     *
     * @throws PlatformException if the HTTP client does not start
     */
    public static HttpPlatformClient open(URI base) {
        HttpClient http =
                new HttpClient(new HttpClientTransportOverHTTP(new ResetDetectingConnector()));
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 2);
        threads.setName("platform-client");
        threads.setDaemon(true);
        http.setExecutor(threads);
        try {
            http.start();
        } catch (Exception e) {
            throw new PlatformException("HTTP client did not start", e);
        }
        return new HttpPlatformClient(http, base, true);
    }

    @Override
    public CompletableFuture<LogPage> readLog(long fromPosition, int limit, long waitMillis) {
        Checks.inRange("fromPosition", fromPosition, 1, Long.MAX_VALUE);
        Checks.inRange("limit", limit, 0, Integer.MAX_VALUE);
        String path =
                "/v1/log?from=" + fromPosition + "&limit=" + limit + "&waitMillis=" + waitMillis;
        return get(path, waitMillis).thenApply(bytes -> parse(bytes, LogPage.class));
    }

    @Override
    public CompletableFuture<VmPage> readVms(long sinceRevision, int limit, long waitMillis) {
        Checks.inRange("sinceRevision", sinceRevision, 0, Long.MAX_VALUE);
        Checks.inRange("limit", limit, 1, Integer.MAX_VALUE);
        String path =
                "/v1/vms?since=" + sinceRevision + "&limit=" + limit + "&waitMillis=" + waitMillis;
        return get(path, waitMillis).thenApply(bytes -> parse(bytes, VmPage.class));
    }

    @Override
    public CompletableFuture<SnapshotHeader> readSnapshotHeader() {
        return get("/v1/snapshot/latest", 0).thenApply(bytes -> parse(bytes, SnapshotHeader.class));
    }

    @Override
    public CompletableFuture<byte[]> readSnapshotChunk(long position, int chunk) {
        return get("/v1/snapshot/" + position + "/" + chunk, 0);
    }

    @Override
    public void close() {
        if (!mOwnsHttp) {
            return;
        }
        try {
            mHttp.stop();
        } catch (Exception e) {
            throw new PlatformException("HTTP client did not stop", e);
        }
    }

    private CompletableFuture<byte[]> get(String path, long waitMillis) {
        Checks.inRange("waitMillis", waitMillis, 0, Integer.MAX_VALUE);
        long timeoutMillis = waitMillis + MARGIN_MILLIS;
        var request =
                mHttp.newRequest(mBase.resolve(path))
                        .idleTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                        .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
        return new CompletableResponseListener(request, MAX_ANSWER_BYTES)
                .send()
                .handle((answer, failure) -> contentOf(path, answer, failure));
    }

    private static byte[] contentOf(String path, ContentResponse answer, Throwable failure) {
        if (failure != null) {
            throw new PlatformException("no answer to " + path, failure);
        }
        if (answer.getStatus() != HttpStatus.OK_200) {
            throw new PlatformException("status " + answer.getStatus() + " to " + path);
        }
        return answer.getContent();
    }

    private static <T> T parse(byte[] bytes, Class<T> type) {
        try {
            return JSON.readValue(bytes, type);
        } catch (IOException e) {
            throw new PlatformException("unreadable " + type.getSimpleName(), e);
        }
    }
}
