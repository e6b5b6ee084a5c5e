package org.apricotgauge.platform.kv;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.model.Checks;
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
    private static final String HOST = "standin.example";

    /** Path prefix of the one route. */
    public static final String PATH = "/work/";

    /** Requests below this prefix are answered with 500. */
    public static final String FAILING_PATH = PATH + "failing/";

    /** The connection of a request below this prefix is closed without an answer. */
    public static final String BROKEN_PATH = PATH + "broken/";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_THREADS = 8;
    private static final long LOOK_EVERY_MILLIS = 20;
    private static final String RANGE = "/apricotgauge/kv-range";
    private static final String WATCH = "/apricotgauge/kv-watch";

    private final Scheduler mScheduler = new ScheduledExecutorScheduler("platform-timer", true);
    private final AtomicLong mRuns = new AtomicLong();
    private final Server mServer;
    private volatile State mState = new State(1, List.of());

    /** An item of the store on the wire. */
    private record Item(String key, String value, long revision) {}

    /** All that the store holds, with the revision of its last change. */
    private record State(long revision, List<Item> items) {}

    private record RangeAnswer(List<Item> items, boolean hasMore, long at) {}

    private record WatchAnswer(List<Item> events, long at) {}

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
        String tenants =
                """
                "tenants":[{"name":"stable","apiKeys":["%s"],"priority":1,
                 "requestsPerS":50,"burst":50}],"""
                        .formatted(key);
        publish(service, List.of(host + ':' + port()), tenants);
    }

    /** Publishes the configuration and targets at these addresses, in the place of its own. */
    public void publish(String service, List<String> addresses) {
        publish(service, addresses, "");
    }

    private void publish(String service, List<String> addresses, String tenants) {
        String configuration =
                """
                {"version":"r1","baseVersion":"r0","services":[{"name":"%s"}],
                 "limits":{"idleTimeoutMs":15000},%s
                 "hosts":[{"host":"%s","paths":[{"name":"route-1","pathPrefix":"%s",
                  "kind":"idempotent","timeoutMs":5000,"priority":0,"service":"%s",
                  "maxAttempts":2}]}]}
                """
                        .formatted(service, tenants, HOST, PATH, service);
        long revision = mState.revision() + 1;
        List<Item> items = new ArrayList<>();
        items.add(item("op/config", configuration, revision));
        for (String address : addresses) {
            String target =
                    """
                    {"address":"%s","info":{"service":"%s","version":"v1","zone":"hall","slots":3},
                     "status":{"state":"ready","sequence":1,"coldRemainingMs":0}}
                    """
                            .formatted(address, service);
            items.add(item("servers/i-" + items.size(), target, revision));
        }
        mState = new State(revision, List.copyOf(items));
    }

    /** Writes what a caller's request to the one route bears. */
    public static void address(HttpFields.Mutable headers, String id) {
        headers.put(HttpHeader.HOST, HOST);
        headers.put(KvDialect.REQUEST_ID, Checks.notBlank("id", id));
    }

    private static Item item(String key, String text, long revision) {
        byte[] value = text.getBytes(StandardCharsets.UTF_8);
        return new Item(key, Base64.getEncoder().encodeToString(value), revision);
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
            State state = mState;
            write(response, callback, new RangeAnswer(state.items(), false, state.revision()));
        }

        private void watch(Request request, Response response, Callback callback) {
            Fields query = Request.extractQueryParameters(request);
            long after = Long.parseLong(query.getValue("after"));
            long waitMillis = Long.parseLong(query.getValue("waitMs"));
            look(after, waitMillis, response, callback);
        }

        private void look(long after, long leftMillis, Response response, Callback callback) {
            State state = mState;
            if (state.revision() > after || leftMillis <= 0) {
                List<Item> events = state.revision() > after ? state.items() : List.of();
                write(response, callback, new WatchAnswer(events, state.revision()));
                return;
            }
            mScheduler.schedule(
                    () -> look(after, leftMillis - LOOK_EVERY_MILLIS, response, callback),
                    LOOK_EVERY_MILLIS,
                    TimeUnit.MILLISECONDS);
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
            try {
                response.write(true, ByteBuffer.wrap(JSON.writeValueAsBytes(answer)), callback);
            } catch (IOException e) {
                callback.failed(e);
            }
        }
    }
}
