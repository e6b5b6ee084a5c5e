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

/** Another node as a source of what the platform published, asked over a new connection. */
final class PeerSource implements PublishedSource {
    /** A peer in reach answers within milliseconds; one that does not is not worth waiting for. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 700;

    /** All items of a site of a few hundred targets take well under this. */
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

    private PublishedPage decodePage(ContentResponse answer) {
        if (answer.getStatus() != HttpStatus.OK_200) {
            throw new CompletionException(
                    new IOException("peer answered with status " + answer.getStatus()));
        }
        try {
            return mCodec.decode(answer.getContent());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
