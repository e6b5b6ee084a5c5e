package org.apricotgauge.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.function.Predicate;
import org.apricotgauge.bench.LocalFleet;
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

/** Tests what is known of a server's connections. */
class ServerConnectionsTest {
    private static final String ASK = "GET /%s HTTP/1.1\r\nHost: site\r\n\r\n";
    private static final String LARGE = "large";
    private static final String HELD = "held";

    /** More than the kernel takes on both sides of a connection. */
    private static final int LARGE_BYTES = 32 * 1_048_576;

    private final QueuedThreadPool mThreads = new QueuedThreadPool();
    private final ScheduledExecutorScheduler mScheduler = new ScheduledExecutorScheduler();
    private final CountDownLatch mGo = new CountDownLatch(1);
    private Server mServer;
    private ServerConnections mConnections;

    @BeforeEach
    void start() throws Exception {
        mThreads.start();
        mScheduler.start();
        mServer =
                new HttpServerFactory(mThreads, mScheduler)
                        .create("127.0.0.1", 0, new Answers(), () -> {});
        mServer.start();
        mConnections = new ServerConnections(mServer);
    }

    @AfterEach
    void stop() throws Exception {
        mGo.countDown();
        mServer.stop();
        mScheduler.stop();
        mThreads.stop();
    }

    // Guards against a connection that counts as busy after its answer, or as idle before it.
    @Test
    void aRequestIsInFlightUntilItsAnswerIsWhole() throws Exception {
        try (Socket caller = connect()) {
            ask(caller, HELD);
            await(counts -> counts.inFlight() == 1);
            mGo.countDown();
            await(counts -> counts.equals(new ServerConnections.Counts(1, 0, 0, 0)));
        }
    }

    // Guards against a request behind another one that nobody knows of when its connection closes.
    @Test
    void aRequestBehindOneInFlightIsUnread() throws Exception {
        try (Socket caller = connect()) {
            ask(caller, HELD);
            await(counts -> counts.inFlight() == 1);
            ask(caller, HELD);
            await(counts -> counts.unread() == 1);
            mGo.countDown();
            await(counts -> counts.equals(new ServerConnections.Counts(1, 0, 0, 0)));
        }
    }

    // Guards against an answer that is cut because it counts as sent once it was written.
    @Test
    void anAnswerThatTheCallerDoesNotReadIsUnsent() throws Exception {
        try (Socket caller = connect()) {
            ask(caller, LARGE);
            await(counts -> counts.unsent() == 1 && counts.inFlight() == 1);
        }
    }

    // Guards against a request that is cut as it was read, and its handler not yet called.
    @Test
    void aRequestThatItsHandlerHasNotSeenIsNotSettled() throws Exception {
        CountDownLatch isRead = new CountDownLatch(1);
        Handler inner = mServer.getHandler();
        mServer.stop();
        mServer.setHandler(new Late(inner, isRead));
        mServer.start();
        try (Socket caller = connect()) {
            ask(caller, HELD);
            isRead.await();

            assertThat(mConnections.closeSettled(() -> false)).isFalse();
            mGo.countDown();
            await(counts -> counts.inFlight() == 0);
            LocalFleet.await(() -> mConnections.closeSettled(() -> false));
            assertThat(new String(caller.getInputStream().readAllBytes(), US_ASCII))
                    .startsWith("HTTP/1.1 200");
        }
    }

    private Socket connect() throws Exception {
        return new Socket("127.0.0.1", HttpServerFactory.portOf(mServer));
    }

    private static void ask(Socket caller, String path) throws Exception {
        caller.getOutputStream().write(ASK.formatted(path).getBytes(US_ASCII));
    }

    private void await(Predicate<ServerConnections.Counts> condition) {
        LocalFleet.await(() -> condition.test(mConnections.count()));
    }

    /** Calls a handler only once the test lets it. */
    private final class Late extends Handler.Wrapper {
        private final CountDownLatch mIsRead;

        private Late(Handler handler, CountDownLatch isRead) {
            super(handler);
            mIsRead = isRead;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws Exception {
            mIsRead.countDown();
            mGo.await();
            return super.handle(request, response, callback);
        }
    }

    /** Answers at once, or once the test lets it. */
    private final class Answers extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback)
                throws Exception {
            if (request.getHttpURI().getPath().endsWith(LARGE)) {
                response.write(true, ByteBuffer.allocate(LARGE_BYTES), callback);
                return true;
            }
            mGo.await();
            callback.succeeded();
            return true;
        }
    }
}
