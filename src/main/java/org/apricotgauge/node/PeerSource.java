package org.apricotgauge.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.apricotgauge.directory.PageCodec;
import org.apricotgauge.directory.PublishedPage;
import org.apricotgauge.directory.PublishedSource;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.client.FetchedResponse;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.StorePosition;
import org.apricotgauge.target.GuardHandler;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** Reads the platform's published items from another node, over a new connection per query. */
final class PeerSource implements PublishedSource {
    /** A reachable peer responds within milliseconds; a slower one is not worth waiting for. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 700;

    /** All items of a site with a few hundred targets are well below this size. */
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    private final UpstreamClient mClient;
    private final PageCodec mCodec;
    private final Address mGuard;

    PeerSource(UpstreamClient client, PageCodec codec, Address guard) {
        mClient = client;
        mCodec = codec;
        mGuard = guard;
    }

    @Override
    public CompletableFuture<PublishedPage> read(StorePosition after, long waitMillis) {
        HttpFields headers =
                HttpFields.build()
                        .put(HttpHeader.CONNECTION, "close")
                        .put(HeaderNames.CONTROL, GuardHandler.CONTROL_DIRECTORY)
                        .put(HeaderNames.DIRECTORY, after.revision())
                        .put(HeaderNames.DIRECTORY_ERA, after.era())
                        .put(HeaderNames.DIRECTORY_WAIT_MILLIS, waitMillis)
                        .put(HeaderNames.DIRECTORY_COMPRESSED, "1");
        return mClient.fetch(
                        UpstreamRequest.get(mGuard, "/", headers),
                        MAX_RESPONSE_BYTES,
                        RESPONSE_TIMEOUT_MILLIS + waitMillis)
                .thenApply(this::decodePage);
    }

    private PublishedPage decodePage(FetchedResponse response) {
        if (response.status() != HttpStatus.OK_200) {
            throw new CompletionException(
                    new IOException("peer responded with status " + response.status()));
        }
        try {
            return mCodec.decode(response.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
