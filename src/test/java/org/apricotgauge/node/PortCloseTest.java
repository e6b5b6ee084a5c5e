package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.http.HttpServerFactory;
import org.apricotgauge.http.ServerConnections;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what callers see of a port that closes. */
class PortCloseTest {
    private static final String HOST = "127.0.0.1";
    private static final String ASK = "GET /%s HTTP/1.1\r\nHost: site\r\nConnection: %s\r\n\r\n";
    private static final String LARGE = "large";
    private static final String WAIT = "wait";

    /** More than the kernel takes on both sides of a connection. */
    private static final int LARGE_BYTES = 32 * 1_048_576;

    private static final int SMALL_WINDOW_BYTES = 4_096;
    private static final int THREADS = 8;
    private static final int TIMEOUT_MILLIS = 60_000;

    private final QueuedThreadPool mThreads = new QueuedThreadPool(THREADS);
    private final ScheduledExecutorScheduler mScheduler = new ScheduledExecutorScheduler();
    private final CountDownLatch mGo = new CountDownLatch(1);
    private final AtomicInteger mAtWork = new AtomicInteger();
    private Server mServer;
    private ServerConnections mConnections;
    private PortClose mClose;

    @BeforeEach
    void start() throws Exception {
        mThreads.setReservedThreads(0);
        mThreads.start();
        mScheduler.start();
        mServer = new HttpServerFactory(mThreads, mScheduler).create(HOST, 0, new Work(), () -> {});
        mServer.start();
        mConnections = new ServerConnections(mServer);
        mClose = new PortClose(mConnections, () -> mAtWork.get() > 0);
    }

    @AfterEach
    void stop() throws Exception {
        mGo.countDown();
        mServer.stop();
        mScheduler.stop();
        mThreads.stop();
    }

    // Guards against a request that is read by nobody and ends with its connection, because the
    // process had no thread for it when its port closed.
    @Test
    void aRequestThatCameBeforeTheCloseIsAnswered() throws Exception {
        try (Socket caller = connect()) {
            LocalFleet.await(() -> mConnections.count().open() == 1);
            CountDownLatch threadsFree = occupyThreads();
            ask(caller, "", "close");
            LocalFleet.await(() -> mConnections.count().unread() == 1);

            CompletableFuture<Void> closed = close(TIMEOUT_MILLIS);
            awaitRefusal();
            threadsFree.countDown();

            assertThat(readAll(caller)).startsWith("HTTP/1.1 200");
            closed.join();
        }
    }

    // Guards against the last bytes of an answer that are dropped because they were written, but
    // not yet sent.
    @Test
    void anAnswerThatIsReadSlowlyIsSentWhole() throws Exception {
        try (Socket caller = new Socket()) {
            caller.setReceiveBufferSize(SMALL_WINDOW_BYTES);
            connect(caller);
            ask(caller, LARGE, "close");
            LocalFleet.await(() -> mConnections.count().unsent() == 1);

            CompletableFuture<Void> closed = close(TIMEOUT_MILLIS);
            awaitRefusal();

            assertThat(readAll(caller)).hasSizeGreaterThan(LARGE_BYTES);
            closed.join();
            assertThat(mClose.left()).isEqualTo(new ServerConnections.Counts(0, 0, 0, 0));
        }
    }

    // Guards against a request without an answer that keeps the port open until the kill, and
    // against a close that doesn't tell what it cut.
    @Test
    void aRequestThatIsNotAnsweredIsCutAndTold() throws Exception {
        try (Socket caller = connect();
                Socket idle = connect()) {
            ask(caller, WAIT, "close");
            LocalFleet.await(() -> mAtWork.get() == 1 && mConnections.count().open() == 2);

            mClose.close(1);

            assertThat(readAll(caller)).isEmpty();
            assertThat(readAll(idle)).isEmpty();
            assertThat(mClose.left()).isEqualTo(new ServerConnections.Counts(1, 1, 0, 0));
        }
    }

    // Guards against questions that wait for news and hold up the end of each process.
    @Test
    void aRequestAtWhichNobodyWorksHoldsNothingUp() throws Exception {
        try (Socket caller = connect()) {
            ask(caller, WAIT, "close");
            LocalFleet.await(() -> mAtWork.get() == 1);
            mAtWork.set(0);

            mClose.close(TIMEOUT_MILLIS);

            assertThat(readAll(caller)).isEmpty();
        }
    }

    private CompletableFuture<Void> close(long waitMillis) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        mClose.close(waitMillis);
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    /** Leaves no thread to read a request. */
    private CountDownLatch occupyThreads() {
        CountDownLatch free = new CountDownLatch(1);
        for (int i = 0; i < THREADS; i++) {
            mThreads.execute(
                    () -> {
                        try {
                            free.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
        }
        LocalFleet.await(() -> mThreads.getQueueSize() > 0);
        return free;
    }

    private void awaitRefusal() {
        LocalFleet.await(() -> HttpServerFactory.portOf(mServer) < 0);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        connect(socket);
        return socket;
    }

    private void connect(Socket socket) throws IOException {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.connect(new InetSocketAddress(HOST, HttpServerFactory.portOf(mServer)));
    }

    private static void ask(Socket caller, String path, String connection) throws IOException {
        caller.getOutputStream()
                .write(ASK.formatted(path, connection).getBytes(StandardCharsets.US_ASCII));
    }

    private static String readAll(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Answers at once, or once the test lets it; runs on a thread of its own for each request. */
    private final class Work extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            mAtWork.incrementAndGet();
            Callback counting = Callback.from(callback, mAtWork::decrementAndGet);
            String path = request.getHttpURI().getPath();
            if (path.endsWith(LARGE)) {
                response.write(true, ByteBuffer.allocate(LARGE_BYTES), counting);
            } else if (path.endsWith(WAIT)) {
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                mGo.await();
                                counting.succeeded();
                            } catch (InterruptedException e) {
                                counting.failed(e);
                            }
                        });
            } else {
                counting.succeeded();
            }
            return true;
        }
    }
}
