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
import org.apricotgauge.model.StorePosition;
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
 * the platform counts. A store that has forgotten the changes asked for (410), or that was restored
 * from a copy since, is read whole. A first read may show the state of some seconds ago; its page
 * tells no age, so that its reader asks for the changes since, and acts on none of it before.
 */
public final class KvSource implements PublishedSource {
    private static final String RANGE = "/apricotgauge/kv-range?pathPrefix=";
    private static final String ALLOW_STALE = "&allowStale=1";
    private static final String ERA = "Store-Era";
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
    private volatile boolean mSendsEras;

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

    /**
     * The pages of a full read so far.
     *
     * @param consistency which state of the store the pages may show
     * @param items the items of all pages
     * @param lastKey the last key of the last page; empty before the first page
     * @param position the oldest position of any page; null before the first page
     */
    private record FullRead(
            Consistency consistency,
            List<PublishedItem> items,
            String lastKey,
            StorePosition position) {
        static FullRead start(Consistency consistency) {
            return new FullRead(consistency, List.of(), "", null);
        }

        boolean isStarted() {
            return position != null;
        }

        FullRead with(List<PublishedItem> page, StorePosition at) {
            List<PublishedItem> all = new ArrayList<>(items);
            all.addAll(page);
            String last = all.isEmpty() ? "" : all.get(all.size() - 1).key();
            boolean isOldest = !isStarted() || at.isBefore(position);
            return new FullRead(consistency, all, last, isOldest ? at : position);
        }
    }

    @Override
    public CompletableFuture<PublishedPage> read(StorePosition after, long waitMillis) {
        if (after.revision() == 0) {
            return readWhole(FullRead.start(Consistency.STALE));
        }
        if (!after.hasEra() && mSendsEras) {
            return readWhole(FullRead.start(Consistency.LATEST));
        }
        long wait = Math.max(1, Math.min(MAX_WAIT_MILLIS, waitMillis));
        String path = WATCH + "&after=" + after.revision() + "&waitMs=" + wait;
        return get(path, wait)
                .thenCompose(
                        answer -> {
                            if (answer.status() == HttpStatus.GONE_410) {
                                return readWhole(FullRead.start(Consistency.LATEST));
                            }
                            WatchAnswer watch = parse(path, answer, WatchAnswer.class);
                            StorePosition at = positionOf(answer, watch.at());
                            // A store that has grown past the reader's revision again answers with
                            // changes that do not follow what the reader has.
                            if (!at.isSameEra(after)) {
                                return readWhole(FullRead.start(Consistency.LATEST));
                            }
                            return CompletableFuture.completedFuture(
                                    new PublishedPage(at, false, items(watch.events())));
                        });
    }

    private StorePosition positionOf(FetchedResponse answer, long revision) {
        long era = Math.max(StorePosition.UNKNOWN_ERA, answer.headers().getLongField(ERA));
        mSendsEras |= era != StorePosition.UNKNOWN_ERA;
        return new StorePosition(era, revision);
    }

    // Pages are not a snapshot: what changes between them shows in a watch from the oldest one on.
    private CompletableFuture<PublishedPage> readWhole(FullRead read) {
        String path =
                RANGE
                        + (read.consistency() == Consistency.STALE ? ALLOW_STALE : "")
                        + (read.lastKey().isEmpty()
                                ? ""
                                : "&after="
                                        + URLEncoder.encode(
                                                read.lastKey(), StandardCharsets.UTF_8));
        return get(path, 0)
                .thenCompose(
                        answer -> {
                            RangeAnswer range = parse(path, answer, RangeAnswer.class);
                            StorePosition at = positionOf(answer, range.at());
                            if (read.isStarted() && !at.isSameEra(read.position())) {
                                return readWhole(FullRead.start(read.consistency()));
                            }
                            FullRead all = read.with(items(range.items()), at);
                            return range.hasMore() && !all.items().isEmpty()
                                    ? readWhole(all)
                                    : CompletableFuture.completedFuture(page(all, read));
                        });
    }

    private static PublishedPage page(FullRead all, FullRead beforeLastPage) {
        PublishedPage page = new PublishedPage(all.position(), true, all.items());
        if (all.consistency() == Consistency.LATEST) {
            return page;
        }
        // A stale page may show the state before a restore although its answer names the era after
        // it. One page is read again at the price of a watch; the calls of a long read are saved.
        boolean isOnePage = !beforeLastPage.isStarted();
        return new PublishedPage(
                isOnePage ? all.position().inEra(StorePosition.UNKNOWN_ERA) : all.position(),
                true,
                all.items(),
                PublishedPage.UNKNOWN_AGE);
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
