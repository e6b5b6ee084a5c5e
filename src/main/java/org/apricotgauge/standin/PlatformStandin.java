package org.apricotgauge.standin;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.VmStatus;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Stands in for the platform's service, in memory and in this process.
 *
 * <pre>{@code
 * PlatformStandin standin = PlatformStandin.start("127.0.0.1", 0);
 * standin.append(patchJson);
 * standin.setMode(PlatformMode.DOWN);
 * }</pre>
 *
 * <p>Serves the protocol of {@link org.apricotgauge.platform.HttpPlatformClient}. Only this
 * stand-in has an operator's side: {@code POST /standin/log} appends the body as one entry, {@code
 * PUT /standin/vms} replaces the list of VMs (a JSON array), {@code PUT /standin/mode/MODE} sets
 * the mode and {@code GET /standin/calls} tells the calls so far. Calls under {@code /v1} are
 * counted, a waiting one as one call.
 */
public final class PlatformStandin implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DEFAULT_LIMIT = 500;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final long SLOW_MILLIS = 1_500;
    private static final int MAX_THREADS = 16;

    private final Server mServer;
    private final ServerConnector mConnector;
    private final PublishedState mState = new PublishedState();
    private final AtomicLong mCalls = new AtomicLong();
    private final Set<Waiter> mWaiters = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(PlatformStandin::daemon);
    private volatile PlatformMode mMode = PlatformMode.UP;
    private volatile PublishedState.Horizon mFrozen = new PublishedState.Horizon(0, 0);

    private PlatformStandin(String host, int port) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 2);
        threads.setName("platform-standin");
        threads.setDaemon(true);
        mServer = new Server(threads);
        mConnector = new ServerConnector(mServer, 1, 1);
        mConnector.setHost(host);
        mConnector.setPort(port);
        mConnector.setIdleTimeout(2 * MAX_WAIT_MILLIS);
        mServer.addConnector(mConnector);
        mServer.setHandler(new Endpoints());
    }

    /**
     * Starts a stand-in.
     *
     * @param host address to listen at
     * @param port port to listen at; 0 for any free one
     * @throws IllegalStateException if it cannot listen there
     */
    public static PlatformStandin start(String host, int port) {
        PlatformStandin standin = new PlatformStandin(host, port);
        try {
            standin.mServer.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot listen at " + host + ':' + port, e);
        }
        return standin;
    }

    /** Returns the address that clients use. */
    public URI uri() {
        return URI.create("http://" + mConnector.getHost() + ':' + mConnector.getLocalPort());
    }

    /** Appends one entry and returns its position. */
    public long append(String body) {
        long position = mState.append(Checks.notNull("body", body));
        wake();
        return position;
    }

    /** Replaces the list of VMs; what differs gets new revisions. */
    public void setVms(List<VmStatus> vms) {
        mState.replaceVms(List.copyOf(vms));
        wake();
    }

    /** Publishes a snapshot in place of the one before. */
    public void publishSnapshot(long position, List<byte[]> chunks) {
        mState.publishSnapshot(position, chunks);
    }

    /** Sets the behaviour; STALE and FLAPPING take the present state as the old one. */
    public void setMode(PlatformMode mode) {
        mFrozen = mState.horizon();
        mMode = Checks.notNull("mode", mode);
        wake();
    }

    /** Returns how many calls came to the platform's side so far. */
    public long calls() {
        return mCalls.get();
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        try {
            mServer.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the stand-in did not stop", e);
        }
    }

    private static Thread daemon(Runnable body) {
        Thread thread = new Thread(body, "platform-standin-timer");
        thread.setDaemon(true);
        return thread;
    }

    private PublishedState.Horizon horizonForCall(long call) {
        return switch (mMode) {
            case STALE -> mFrozen;
            case FLAPPING -> call % 2 == 0 ? mFrozen : mState.horizon();
            case UP, SLOW, DOWN -> mState.horizon();
        };
    }

    private void wake() {
        mWaiters.forEach(Waiter::check);
    }

    /** One call that waits for something new. */
    private final class Waiter {
        private final long mCall;
        private final boolean mLog;
        private final long mBeyond;
        private final Runnable mAnswer;

        Waiter(long call, boolean log, long beyond, Runnable answer) {
            mCall = call;
            mLog = log;
            mBeyond = beyond;
            mAnswer = answer;
        }

        void check() {
            PublishedState.Horizon horizon = horizonForCall(mCall);
            long now = mLog ? horizon.logHead() : horizon.vmRevision();
            if (now > mBeyond || mMode == PlatformMode.DOWN) {
                finish();
            }
        }

        void finish() {
            if (mWaiters.remove(this)) {
                mAnswer.run();
            }
        }

        void start(long waitMillis) {
            mWaiters.add(this);
            mTimer.schedule(this::finish, waitMillis, TimeUnit.MILLISECONDS);
            check();
        }
    }

    /** Dispatches both sides. */
    private final class Endpoints extends Handler.Abstract {

        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws Exception {
            String path = Request.getPathInContext(request);
            if (path.startsWith("/standin/")) {
                operate(path, request, response, callback);
                return true;
            }
            long call = mCalls.incrementAndGet();
            Runnable answer = () -> serve(path, call, request, response, callback);
            if (mMode == PlatformMode.SLOW) {
                mTimer.schedule(answer, SLOW_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                answer.run();
            }
            return true;
        }

        private void serve(
                String path, long call, Request request, Response response, Callback callback) {
            if (mMode == PlatformMode.DOWN) {
                answer(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503, new byte[0]);
                return;
            }
            Fields query = Request.extractQueryParameters(request);
            int limit = (int) number(query, "limit", DEFAULT_LIMIT);
            long waitMillis = Math.min(MAX_WAIT_MILLIS, number(query, "waitMillis", 0));
            if (path.equals("/v1/log")) {
                long from = Math.max(1, number(query, "from", 1));
                Runnable page =
                        () ->
                                json(
                                        response,
                                        callback,
                                        mState.log(from, limit, horizonForCall(call)));
                new Waiter(call, true, from - 1, page).start(waitMillis);
            } else if (path.equals("/v1/vms")) {
                long since = number(query, "since", 0);
                Runnable page =
                        () ->
                                json(
                                        response,
                                        callback,
                                        mState.vms(since, limit, horizonForCall(call)));
                new Waiter(call, false, since, page).start(waitMillis);
            } else if (path.equals("/v1/snapshot/latest")) {
                json(response, callback, mState.snapshot());
            } else {
                chunk(path, response, callback);
            }
        }

        private void chunk(String path, Response response, Callback callback) {
            String[] parts = path.split("/");
            boolean wellFormed =
                    parts.length == 5
                            && parts[2].equals("snapshot")
                            && parts[3].matches("\\d{1,18}")
                            && parts[4].matches("\\d{1,9}");
            byte[] chunk =
                    wellFormed
                            ? mState.chunk(Long.parseLong(parts[3]), Integer.parseInt(parts[4]))
                            : null;
            int status = chunk == null ? HttpStatus.NOT_FOUND_404 : HttpStatus.OK_200;
            answer(response, callback, status, chunk == null ? new byte[0] : chunk);
        }

        private void operate(String path, Request request, Response response, Callback callback)
                throws IOException {
            if (path.equals("/standin/log")) {
                long position = append(Content.Source.asString(request, StandardCharsets.UTF_8));
                json(response, callback, Map.of("position", position));
            } else if (path.equals("/standin/vms")) {
                String body = Content.Source.asString(request, StandardCharsets.UTF_8);
                setVms(JSON.readValue(body, new TypeReference<List<VmStatus>>() {}));
                json(response, callback, Map.of("revision", mState.horizon().vmRevision()));
            } else if (path.startsWith("/standin/mode/")) {
                setMode(PlatformMode.valueOf(path.substring("/standin/mode/".length())));
                json(response, callback, Map.of("mode", mMode));
            } else {
                json(response, callback, Map.of("calls", calls()));
            }
        }

        private long number(Fields query, String name, long otherwise) {
            String value = query.getValue(name);
            return value == null ? otherwise : Long.parseLong(value);
        }

        private void json(Response response, Callback callback, Object value) {
            try {
                answer(response, callback, HttpStatus.OK_200, JSON.writeValueAsBytes(value));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void answer(Response response, Callback callback, int status, byte[] body) {
            response.setStatus(status);
            response.write(true, ByteBuffer.wrap(body), callback);
        }
    }
}
