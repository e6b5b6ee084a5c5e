package org.apricotgauge.platform.kv;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apricotgauge.directory.PublishedItem;
import org.apricotgauge.directory.PublishedPage;
import org.apricotgauge.directory.PublishedSource;
import org.apricotgauge.http.client.FetchedResponse;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.platform.PlatformException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;

/**
 * The platform's store of keys, read over HTTP.
 *
 * <pre>{@code
 * PublishedSource store = new KvSource(client, new Address("10.0.0.7", 8309));
 * }</pre>
 *
 * <p>One watch with the empty prefix covers the configuration and the targets: a call each is what
 * the platform counts. A store that has forgotten the changes asked for (410) is read whole. A
 * first read may show the state of some seconds ago; its page tells no age, so that its reader asks
 * for the changes since, and acts on none of it before.
 */
public final class KvSource implements PublishedSource {
    private static final String RANGE = "/apricotgauge/kv-range?pathPrefix=";
    private static final String ALLOW_STALE = "&allowStale=1";
    private static final String WATCH = "/apricotgauge/kv-watch?pathPrefix=";

    /** The store holds a watch no longer than this. */
    private static final long MAX_WAIT_MILLIS = 30_000;

    /** Answers take 4 ms, on a slow day some 250; a silent connection is given up after this. */
    private static final long ANSWER_MILLIS = 900;

    /** A page holds at most 500 items or 1 MB of values, half as much again in base64. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final UpstreamClient mHttp;
    private final Address mStore;

    /** Creates a source on a client that stays its owner's. */
    public KvSource(UpstreamClient http, Address store) {
        mHttp = Checks.notNull("http", http);
        mStore = Checks.notNull("store", store);
    }

    /** An item or event on the wire; values are base64. */
    private record ItemLine(String key, byte[] value, long revision, boolean tombstone) {
        PublishedItem item() {
            return tombstone || value == null
                    ? PublishedItem.removed(key, revision)
                    : new PublishedItem(key, value, revision, false);
        }
    }

    /** Which state of the store a range may show. */
    private enum Consistency {
        /** That at the time of the call. */
        LATEST,
        /** One of some seconds ago, at a tenth of the price. */
        STALE
    }

    private record RangeAnswer(List<ItemLine> items, boolean hasMore, long at) {}

    private record WatchAnswer(List<ItemLine> events, long at) {}

    @Override
    public CompletableFuture<PublishedPage> read(long afterRevision, long waitMillis) {
        if (afterRevision == 0) {
            return readWhole(Consistency.STALE, new ArrayList<>(), "", Long.MAX_VALUE);
        }
        long wait = Math.max(1, Math.min(MAX_WAIT_MILLIS, waitMillis));
        String path = WATCH + "&after=" + afterRevision + "&waitMs=" + wait;
        return get(path, wait)
                .thenCompose(
                        answer -> {
                            if (answer.status() == HttpStatus.GONE_410) {
                                return readWhole(
                                        Consistency.LATEST, new ArrayList<>(), "", Long.MAX_VALUE);
                            }
                            WatchAnswer watch = parse(path, answer, WatchAnswer.class);
                            return CompletableFuture.completedFuture(
                                    new PublishedPage(watch.at(), false, items(watch.events())));
                        });
    }

    // Pages are not a snapshot: what changes between them shows in a watch from the oldest one on.
    private CompletableFuture<PublishedPage> readWhole(
            Consistency consistency, List<PublishedItem> read, String afterKey, long oldestAt) {
        String path =
                RANGE
                        + (consistency == Consistency.STALE ? ALLOW_STALE : "")
                        + (afterKey.isEmpty()
                                ? ""
                                : "&after=" + URLEncoder.encode(afterKey, StandardCharsets.UTF_8));
        return get(path, 0)
                .thenCompose(
                        answer -> {
                            RangeAnswer range = parse(path, answer, RangeAnswer.class);
                            read.addAll(items(range.items()));
                            long at = Math.min(oldestAt, range.at());
                            if (range.hasMore() && !read.isEmpty()) {
                                String lastKey = read.get(read.size() - 1).key();
                                return readWhole(consistency, read, lastKey, at);
                            }
                            PublishedPage page = new PublishedPage(at, true, read);
                            return CompletableFuture.completedFuture(
                                    consistency == Consistency.STALE
                                            ? page.withAgeMillis(PublishedPage.UNKNOWN_AGE)
                                            : page);
                        });
    }

    private static List<PublishedItem> items(List<ItemLine> lines) {
        return lines == null ? List.of() : lines.stream().map(ItemLine::item).toList();
    }

    private CompletableFuture<FetchedResponse> get(String path, long waitMillis) {
        return mHttp.fetch(
                UpstreamRequest.get(mStore, path, HttpFields.EMPTY),
                MAX_ANSWER_BYTES,
                waitMillis + ANSWER_MILLIS);
    }

    private static <T> T parse(String path, FetchedResponse answer, Class<T> type) {
        if (answer.status() != HttpStatus.OK_200) {
            throw new PlatformException("status " + answer.status() + " to " + path);
        }
        try {
            return JSON.readValue(answer.body(), type);
        } catch (IOException e) {
            throw new PlatformException("unreadable answer to " + path, e);
        }
    }
}
