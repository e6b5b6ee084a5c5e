package org.apricotgauge.platform.kv;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.apricotgauge.directory.PublishedItem;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.model.Checks;
import org.apricotgauge.standin.RevisionedStore;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Stands in for the users' platform on a calm day: its store, and one target that answers all work.
 *
 * <pre>{@code
 * try (KvStandin platform = KvStandin.start("127.0.0.1", 0)) {
 *     platform.publish("127.0.0.1", "desk");
 * }
 * }</pre>
 *
 * <p>The store holds one configuration, with the route {@link #PATH} at its host ({@link
 * #address}), and targets of its service. They are there once they are published.
 */
public final class KvStandin implements AutoCloseable {
    /** Host of all routes. */
    public static final String HOST = "standin.example";

    private static final String ZONE = "hall";
    private static final int SLOTS = 3;

    /** Path prefix of the one route. */
    public static final String PATH = "/work/";

    /** State of a target that accepts work. */
    public static final String READY = "ready";

    /** State of a target that is leaving. */
    public static final String LEAVING = "draining";

    /** Requests below this prefix are answered with 500. */
    public static final String FAILING_PATH = PATH + "failing/";

    /** The connection of a request below this prefix is closed without an answer. */
    public static final String BROKEN_PATH = PATH + "broken/";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_THREADS = 8;
    private static final long LOOK_EVERY_MILLIS = 20;
    private static final String RANGE = "/apricotgauge/kv-range";
    private static final String WATCH = "/apricotgauge/kv-watch";
    private static final String ERA = "Store-Era";
    private static final String CONFIG_KEY = "op/config";
    private static final String TARGET_PREFIX = "servers/";
    private static final String MEMBER =
            """
            {"name":"stable","apiKeys":[%s],"priority":1,"requestsPerS":50,"burst":50}""";
    private static final String ROUTE =
            """
            {"name":"route%s","pathPrefix":"%s","kind":"idempotent","timeoutMs":5000,
             "priority":0,"service":"%s","maxAttempts":2}""";

    private final Scheduler mScheduler = new ScheduledExecutorScheduler("platform-timer", true);
    private final AtomicLong mRuns = new AtomicLong();
    private final Server mServer;
    private final Object mLock = new Object();
    private final RevisionedStore mStore = new RevisionedStore(1);
    private boolean mIsAway;

    /** An item or event on the wire; a value is absent from the event of a removal. */
    private record Item(String key, byte[] value, long revision, boolean tombstone) {
        static Item of(PublishedItem item) {
            byte[] value = item.removed() ? null : item.value();
            return new Item(item.key(), value, item.revision(), item.removed());
        }
    }

    private record RangeAnswer(List<Item> items, boolean hasMore, long at) {}

    private record WatchAnswer(List<Item> events, long at) {}

    /** A watch, which is cut if the store is restored while it waits. */
    private record Watch(long after, long era) {}

    private KvStandin(String host, int port) {
        mServer =
                new HttpServerFactory(new QueuedThreadPool(MAX_THREADS), mScheduler)
                        .create(host, port, new CallHandler(), () -> {});
    }

    /**
     * Starts a platform whose store is empty.
     *
     * @param host IP number to listen at
     * @param port port to listen at, 0 for any
     * @throws IOException if it cannot listen
     */
    public static KvStandin start(String host, int port) throws IOException {
        KvStandin standin = new KvStandin(Checks.notBlank("host", host), port);
        try {
            standin.mServer.start();
        } catch (Exception e) {
            throw new IOException("cannot listen at port " + port, e);
        }
        return standin;
    }

    /** Returns the port of the store and of the target. */
    public int port() {
        return HttpServerFactory.portOf(mServer);
    }

    /** Returns how many requests the target has run. */
    public long runs() {
        return mRuns.get();
    }

    /** Publishes the configuration and the target, which stands on the VM of this host. */
    public void publish(String host, String service) {
        publish(service, List.of(host + ':' + port()));
    }

    /**
     * Publishes as {@link #publish(String, String)}, with one member that has the key and a limit.
     */
    public void publishWithKey(String host, String service, String key) {
        publishWithKey(service, List.of(host + ':' + port()), key);
    }

    /** Publishes as above, with targets at these addresses in the place of its own. */
    public void publishWithKey(String service, List<String> addresses, String key) {
        String tenants = "\"tenants\":[" + MEMBER.formatted('"' + key + '"') + "],";
        publish(service, addresses, tenants);
    }

    /** Publishes the configuration and targets at these addresses, in the place of its own. */
    public void publish(String service, List<String> addresses) {
        publish(service, addresses, "");
    }

    private void publish(String service, List<String> addresses, String tenants) {
        synchronized (mLock) {
            publishConfiguration(1, service, List.of(PATH), tenants);
            Set<String> absent = new HashSet<>();
            mStore.items().forEach(item -> absent.add(item.key()));
            absent.remove(CONFIG_KEY);
            for (int i = 1; i <= addresses.size(); i++) {
                absent.remove(TARGET_PREFIX + targetName(i));
                register(targetName(i), service, addresses.get(i - 1), READY, 1);
            }
            absent.forEach(mStore::remove);
        }
    }

    private static String targetName(int number) {
        return "i-" + number;
    }

    /** Publishes a version of the configuration with a route for each path prefix. */
    public void publishConfiguration(long version, String service, List<String> prefixes) {
        publishConfiguration(version, service, prefixes, "");
    }

    /**
     * Publishes a version of the configuration with the route {@link #PATH} and the member {@code
     * stable}, which has these keys and a limit; without keys it is still a member.
     */
    public void publishKeys(long version, String service, List<String> keys) {
        String quoted = keys.stream().map("\"%s\""::formatted).collect(Collectors.joining(","));
        publishTenants(version, service, '[' + MEMBER.formatted(quoted) + ']');
    }

    /** Publishes a version as {@link #publishKeys}, with these members as JSON. */
    public void publishTenants(long version, String service, String tenants) {
        publishConfiguration(version, service, List.of(PATH), "\"tenants\":" + tenants + ',');
    }

    private void publishConfiguration(
            long version, String service, List<String> prefixes, String tenants) {
        String routes =
                prefixes.stream()
                        .map(prefix -> ROUTE.formatted(prefix.replace('/', '-'), prefix, service))
                        .collect(Collectors.joining(","));
        String configuration =
                """
                {"version":"r%d","baseVersion":"r0","services":[{"name":"%s"}],
                 "limits":{"idleTimeoutMs":15000},%s
                 "hosts":[{"host":"%s","paths":[%s]}]}
                """
                        .formatted(version, service, tenants, HOST, routes);
        put(CONFIG_KEY, configuration);
    }

    /** Publishes a configuration with these routes; the store's targets stay as they are. */
    public void publishRoutes(long version, List<SiteRoute> routes) {
        Set<String> services = new TreeSet<>();
        routes.forEach(route -> services.add("{\"name\":\"" + route.service() + "\"}"));
        put(
                CONFIG_KEY,
                """
                {"version":"r%d","baseVersion":"r0","services":[%s],
                 "limits":{"idleTimeoutMs":15000},"hosts":[{"host":"%s","paths":[%s]}]}
                """
                        .formatted(
                                version,
                                String.join(",", services),
                                HOST,
                                routes.stream()
                                        .map(SiteRoute::toJson)
                                        .collect(Collectors.joining(","))));
    }

    /**
     * Writes a target's entry.
     *
     * @param state {@link #READY} or {@link #LEAVING}
     * @param sequence how often the target wrote
     */
    public void register(String name, String service, String address, String state, long sequence) {
        write(name, entry(service, address, ZONE, SLOTS, state, sequence));
    }

    /** Writes the entry of a target that is ready, with its failure domain and slots. */
    public void registerReady(
            String name, String service, String address, String zone, int slots, long sequence) {
        register(name, service, address, zone, slots, READY, sequence);
    }

    /** Writes as {@link #registerReady}, with the target's state. */
    public void register(
            String name,
            String service,
            String address,
            String zone,
            int slots,
            String state,
            long sequence) {
        write(name, entry(service, address, zone, slots, state, sequence));
    }

    /** Writes any text in the place of a target's entry, as another writer of the store may. */
    public void write(String name, String entry) {
        put(TARGET_PREFIX + name, entry);
    }

    private static String entry(
            String service, String address, String zone, int slots, String state, long sequence) {
        return """
        {"address":"%s","info":{"service":"%s","version":"v1","zone":"%s","slots":%d},
         "status":{"state":"%s","sequence":%d,"coldRemainingMs":0}}
        """
                .formatted(address, service, zone, slots, state, sequence);
    }

    /** Removes a target's entry. */
    public void unregister(String name) {
        synchronized (mLock) {
            mStore.remove(TARGET_PREFIX + name);
        }
    }

    private void put(String key, String text) {
        synchronized (mLock) {
            mStore.put(key, text.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Returns a copy of the store as it is now. */
    public RevisionedStore.Copy copy() {
        synchronized (mLock) {
            return mStore.copy();
        }
    }

    /** Restores the store from a copy: what was written since is lost. */
    public void restore(RevisionedStore.Copy copy) {
        synchronized (mLock) {
            mStore.restore(copy);
        }
    }

    /** Refuses all calls and cuts all watches from now on, or serves again. */
    public void setAway(boolean isAway) {
        synchronized (mLock) {
            mIsAway = isAway;
        }
    }

    /** Writes what a caller's request to the one route bears. */
    public static void address(HttpFields.Mutable headers, String id) {
        headers.put(HttpHeader.HOST, HOST);
        headers.put(KvDialect.REQUEST_ID, Checks.notBlank("id", id));
    }

    @Override
    public void close() throws IOException {
        try {
            mServer.stop();
        } catch (Exception e) {
            throw new IOException("the platform stand-in does not stop", e);
        }
    }

    private final class CallHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws Exception {
            switch (Request.getPathInContext(request)) {
                case RANGE -> range(response, callback);
                case WATCH -> watch(request, response, callback);
                default -> work(request, response, callback);
            }
            return true;
        }

        private void range(Response response, Callback callback) {
            synchronized (mLock) {
                if (mIsAway) {
                    refuse(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503);
                    return;
                }
                List<Item> items = mStore.items().stream().map(Item::of).toList();
                write(response, callback, new RangeAnswer(items, false, mStore.revision()));
            }
        }

        private void watch(Request request, Response response, Callback callback) {
            Fields query = Request.extractQueryParameters(request);
            long after = Long.parseLong(query.getValue("after"));
            long waitMillis = Long.parseLong(query.getValue("waitMs"));
            synchronized (mLock) {
                look(new Watch(after, mStore.era()), waitMillis, response, callback);
            }
        }

        private void look(Watch watch, long leftMillis, Response response, Callback callback) {
            synchronized (mLock) {
                Optional<List<PublishedItem>> changes = mStore.changesAfter(watch.after());
                if (mIsAway || watch.era() != mStore.era()) {
                    refuse(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503);
                    return;
                }
                if (changes.isEmpty()) {
                    refuse(response, callback, HttpStatus.GONE_410);
                    return;
                }
                if (!changes.get().isEmpty() || leftMillis <= 0) {
                    List<Item> events = changes.get().stream().map(Item::of).toList();
                    write(response, callback, new WatchAnswer(events, mStore.revision()));
                    return;
                }
            }
            mScheduler.schedule(
                    () -> look(watch, leftMillis - LOOK_EVERY_MILLIS, response, callback),
                    LOOK_EVERY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        private void refuse(Response response, Callback callback, int status) {
            response.setStatus(status);
            response.getHeaders().put(ERA, mStore.era());
            response.write(true, ByteBuffer.allocate(0), callback);
        }

        private void work(Request request, Response response, Callback callback) {
            long run = mRuns.incrementAndGet();
            String path = Request.getPathInContext(request);
            if (path.startsWith(BROKEN_PATH)) {
                callback.failed(new IOException("broken as requested"));
                return;
            }
            if (path.startsWith(FAILING_PATH)) {
                response.setStatus(HttpStatus.INTERNAL_SERVER_ERROR_500);
            }
            String id = request.getHeaders().get(KvDialect.REQUEST_ID);
            if (id != null) {
                response.getHeaders().put(KvDialect.REQUEST_ID, id);
            }
            response.getHeaders().put(KvDialect.TARGET_MARK, "run-" + run);
            byte[] body = ("done " + id).getBytes(StandardCharsets.UTF_8);
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
            response.write(true, ByteBuffer.wrap(body), callback);
        }

        private void write(Response response, Callback callback, Object answer) {
            response.getHeaders().put(ERA, mStore.era());
            try {
                response.write(true, ByteBuffer.wrap(JSON.writeValueAsBytes(answer)), callback);
            } catch (IOException e) {
                callback.failed(e);
            }
        }
    }
}
