package org.apricotgauge.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.directory.PageCodec;
import org.apricotgauge.directory.PublishedPage;
import org.apricotgauge.directory.PublishedSource;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.model.Address;
import org.apricotgauge.target.GuardHandler;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** Reads the platform's published items from another node, over a new connection per query. */
final class PeerSource implements PublishedSource {
    /** A reachable peer responds within milliseconds; a slower one is not worth waiting for. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 700;

    /** All items of a site with a few hundred targets are well below this size. */
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    private final HttpClient mClient;
    private final PageCodec mCodec;
    private final Address mGuard;

    PeerSource(HttpClient client, PageCodec codec, Address guard) {
        mClient = client;
        mCodec = codec;
        mGuard = guard;
    }

    @Override
    public CompletableFuture<PublishedPage> read(long afterRevision, long waitMillis) {
        var request =
                mClient.newRequest(mGuard.host(), mGuard.port())
                        .path("/")
                        .timeout(RESPONSE_TIMEOUT_MILLIS + waitMillis, TimeUnit.MILLISECONDS)
                        .headers(
                                headers -> {
                                    headers.put(HttpHeader.CONNECTION, "close");
                                    headers.put(
                                            HeaderNames.CONTROL, GuardHandler.CONTROL_DIRECTORY);
                                    headers.put(HeaderNames.DIRECTORY, afterRevision);
                                    headers.put(HeaderNames.DIRECTORY_WAIT_MILLIS, waitMillis);
                                    headers.put(HeaderNames.DIRECTORY_COMPRESSED, "1");
                                });
        return new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
                .send()
                .thenApply(this::decodePage);
    }

    private PublishedPage decodePage(ContentResponse response) {
        if (response.getStatus() != HttpStatus.OK_200) {
            throw new CompletionException(
                    new IOException("peer responded with status " + response.getStatus()));
        }
        try {
            return mCodec.decode(response.getContent());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
