package org.apricotgauge.http.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.bench.LocalFleet;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.model.Address;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the client against a server whose every byte the test writes. */
class UpstreamClientTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final int WAITING_REQUESTS = 20_000;
    private static final int MAX_BYTES = 1_000;
    private static final long TIMEOUT_MILLIS = 10_000;

    private final QueuedThreadPool mThreads = new QueuedThreadPool();
    private final ScheduledExecutorScheduler mScheduler = new ScheduledExecutorScheduler();
    private final UpstreamClientFactory mClients =
            new UpstreamClientFactory(mThreads, mScheduler, TIMEOUT_MILLIS);
    private ServerSocket mServer;
    private UpstreamClient mClient;
    private Address mAddress;

    @BeforeEach
    void start() throws Exception {
        mServer = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout((int) TIMEOUT_MILLIS);
        mAddress = new Address("127.0.0.1", mServer.getLocalPort());
        mThreads.start();
        mScheduler.start();
        mClients.start();
        mClient = mClients.create(new UpstreamClientFactory.Limits(60_000, 2, 2));
    }

    @AfterEach
    void stop() throws Exception {
        mClients.stop();
        mScheduler.stop();
        mThreads.stop();
        mServer.close();
    }

    /** Receives the events of one exchange; the body is read as a whole. */
    private static final class Recorder implements UpstreamExchange.Listener {
        private final CompletableFuture<UpstreamExchange.Failure> mFailure =
                new CompletableFuture<>();
        private final CompletableFuture<Content.Source> mAnswer = new CompletableFuture<>();
        private final CompletableFuture<HttpFields> mAcknowledged = new CompletableFuture<>();

        @Override
        public void onAcknowledged(HttpFields fields) {
            mAcknowledged.complete(fields);
        }

        @Override
        public void onAnswer(UpstreamResponse response, Content.Source body) {
            mAnswer.complete(body);
        }

        @Override
        public void onFailure(UpstreamExchange.Failure failure) {
            mFailure.complete(failure);
        }
    }

    private CompletableFuture<FetchedResponse> fetch(String path) {
        return mClient.fetch(
                UpstreamRequest.get(mAddress, path, HttpFields.EMPTY), MAX_BYTES, TIMEOUT_MILLIS);
    }

    private static String text(FetchedResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readTo(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return text.toString();
            }
            text.append((char) next);
        }
        return text.toString();
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    void reusesConnection() throws Exception {
        CompletableFuture<FetchedResponse> first = fetch("/a?b=c");
        try (Socket connection = mServer.accept()) {
            String head = readTo(connection, "\r\n\r\n");
            write(connection, OK);

            assertThat(head).startsWith("GET /a?b=c HTTP/1.1\r\nHost: " + mAddress + "\r\n");
            assertThat(head).doesNotContain("Content-Length").doesNotContain("Transfer-Encoding");
            assertThat(text(get(first))).isEqualTo("ok");

            CompletableFuture<FetchedResponse> second = fetch("/d");
            assertThat(readTo(connection, "\r\n\r\n")).startsWith("GET /d ");
            write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n");
            write(connection, "1\r\nz\r\n0\r\n\r\n");
            assertThat(text(get(second))).isEqualTo("xyz");
        }
    }

    @Test
    void sendsBodyOfUnknownLengthInChunks() throws Exception {
        Content.Source body =
                Content.Source.from(
                        ByteBuffer.wrap(new byte[] {'a', 'b'}), ByteBuffer.wrap(new byte[] {'c'}));
        Content.Source unknownLength =
                new Content.Source() {
                    @Override
                    public Content.Chunk read() {
                        return body.read();
                    }

                    @Override
                    public void demand(Runnable onAvailable) {
                        body.demand(onAvailable);
                    }

                    @Override
                    public void fail(Throwable failure) {
                        body.fail(failure);
                    }
                };
        Recorder recorder = new Recorder();
        mClient.send(
                new UpstreamRequest(mAddress, "POST", "/", HttpFields.EMPTY, unknownLength),
                recorder);
        try (Socket connection = mServer.accept()) {
            String request = readTo(connection, "0\r\n\r\n");
            write(connection, OK);

            assertThat(request).contains("Transfer-Encoding: chunked\r\n");
            assertThat(request).endsWith("\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
            assertThat(get(recorder.mAnswer)).isNotNull();
        }
    }

    @Test
    void notifiesOfAcknowledgementBeforeAnswer() throws Exception {
        Recorder recorder = new Recorder();
        mClient.send(UpstreamRequest.get(mAddress, "/", HttpFields.EMPTY), recorder);
        try (Socket connection = mServer.accept()) {
            readTo(connection, "\r\n\r\n");
            write(connection, "HTTP/1.1 102 Processing\r\nServer: guard\r\n\r\n");

            assertThat(get(recorder.mAcknowledged).get("Server")).isEqualTo("guard");
            assertThat(recorder.mAnswer).isNotDone();
            write(connection, OK);
            assertThat(get(recorder.mAnswer)).isNotNull();
        }
    }

    // Guards against a truncated response that looks complete.
    @Test
    void truncatedBodyFails() throws Exception {
        CompletableFuture<FetchedResponse> response = fetch("/");
        try (Socket connection = mServer.accept()) {
            readTo(connection, "\r\n\r\n");
            write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok");
        }
        assertThatThrownBy(() -> get(response)).hasRootCauseInstanceOf(IOException.class);
    }

    // Guards against a response without end that is kept until the memory is used up.
    @Test
    void fetchOfEndlessBodyFailsAtItsBound() throws Exception {
        CompletableFuture<FetchedResponse> response = fetch("/");
        try (Socket connection = mServer.accept()) {
            readTo(connection, "\r\n\r\n");
            write(connection, "HTTP/1.1 200 OK\r\n\r\n");
            String text = "x".repeat(MAX_BYTES);
            assertThatThrownBy(
                            () -> {
                                while (true) {
                                    write(connection, text);
                                }
                            })
                    .isInstanceOf(IOException.class);
        }
        assertThatThrownBy(() -> get(response)).isNotNull();
    }

    // Guards against bytes after a response that are taken for the response to the next request.
    @Test
    void connectionWithBytesAfterResponseIsNotReused() throws Exception {
        CompletableFuture<FetchedResponse> first = fetch("/first");
        try (Socket connection = mServer.accept()) {
            readTo(connection, "\r\n\r\n");
            write(connection, OK + OK);

            assertThat(text(get(first))).isEqualTo("ok");
            assertThat(readTo(connection, "\r\n\r\n")).isEmpty();
        }
        assertThat(mClient.idleConnections()).isZero();
    }

    // Guards against an abort that leaves it open whether the request ran, though no byte was sent.
    @Test
    void abortedWhileWaitingForConnectionIsNotSent() throws Exception {
        Recorder recorder = new Recorder();
        mClient.send(UpstreamRequest.get(mAddress, "/", HttpFields.EMPTY), new Recorder());
        mClient.send(UpstreamRequest.get(mAddress, "/", HttpFields.EMPTY), new Recorder());
        UpstreamExchange waiting =
                mClient.send(UpstreamRequest.get(mAddress, "/", HttpFields.EMPTY), recorder);
        try (Socket one = mServer.accept();
                Socket two = mServer.accept()) {
            readTo(one, "\r\n\r\n");
            readTo(two, "\r\n\r\n");
            waiting.abort(new IOException("aborted"));

            assertThat(get(recorder.mFailure).progress())
                    .isEqualTo(UpstreamExchange.Progress.NOT_SENT);
            assertThat(mClient.waitingRequests()).isZero();
        }
    }

    // Guards against a request written to a connection that had ended before: on a busy machine the
    // selector reports the end late, and the caller is told that its request may have run.
    @Test
    void endedConnectionIsNotUsedThoughSelectorIsBusy() throws Exception {
        CompletableFuture<FetchedResponse> first = fetch("/first");
        CountDownLatch selectorBusy = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        try (Socket ended = mServer.accept()) {
            readTo(ended, "\r\n\r\n");
            write(ended, OK);
            get(first);
            LocalFleet.await(() -> mClient.idleConnections() == 1);
            UpstreamClient other = mClients.create(new UpstreamClientFactory.Limits(60_000, 1, 1));
            other.send(
                    UpstreamRequest.get(mAddress, "/other", HttpFields.EMPTY),
                    new BlockingListener(selectorBusy, resume));
            try (Socket blocking = mServer.accept()) {
                readTo(blocking, "\r\n\r\n");
                write(blocking, OK);
                selectorBusy.await();
                ended.shutdownOutput();

                Recorder recorder = new Recorder();
                mClient.send(UpstreamRequest.get(mAddress, "/next", HttpFields.EMPTY), recorder);
                resume.countDown();
                try (Socket fresh = mServer.accept()) {
                    assertThat(readTo(fresh, "\r\n\r\n")).startsWith("GET /next ");
                    write(fresh, OK);
                    assertThat(get(recorder.mAnswer)).isNotNull();
                }
            }
        } finally {
            resume.countDown();
        }
    }

    // Guards against a stack that overflows when all requests that wait for a connection to a
    // target
    // are cancelled at once, as when the target begins to leave.
    @Test
    void manyWaitingRequestsMayBeCancelledAtOnce() throws Exception {
        UpstreamClient client =
                mClients.create(new UpstreamClientFactory.Limits(60_000, 1, WAITING_REQUESTS));
        Recorder first = new Recorder();
        client.send(UpstreamRequest.get(mAddress, "/", HttpFields.EMPTY), first);
        try (Socket connection = mServer.accept()) {
            readTo(connection, "\r\n\r\n");
            CountDownLatch cancelled = new CountDownLatch(WAITING_REQUESTS);
            for (int i = 0; i < WAITING_REQUESTS; i++) {
                client.send(
                        UpstreamRequest.get(mAddress, "/", HttpFields.EMPTY),
                        new CancellingListener(cancelled));
            }
            write(connection, OK);
            Bodies.readAll(get(first.mAnswer), MAX_BYTES).get();

            assertThat(cancelled.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
            LocalFleet.await(() -> client.idleConnections() == 1);
        }
    }

    // Guards against a stop that fails because a connection is still being opened.
    @Test
    void stopsWhileConnectionIsBeingOpened() {
        Recorder recorder = new Recorder();
        mClient.send(UpstreamRequest.get(mAddress, "/", HttpFields.EMPTY), recorder);

        mClient.close();

        assertThat(mClient.waitingRequests()).isZero();
        assertThat(mClient.idleConnections()).isZero();
    }

    /** Begins no request. */
    private record CancellingListener(CountDownLatch cancelled)
            implements UpstreamExchange.Listener {
        @Override
        public boolean onBegin() {
            return false;
        }

        @Override
        public void onAnswer(UpstreamResponse response, Content.Source body) {
            throw new IllegalStateException("answer to a request that was not sent");
        }

        @Override
        public void onFailure(UpstreamExchange.Failure failure) {
            cancelled.countDown();
        }
    }

    /** Keeps the selector's thread until the test lets it go on. */
    private record BlockingListener(CountDownLatch blocked, CountDownLatch resume)
            implements UpstreamExchange.Listener {

        @Override
        public void onAnswer(UpstreamResponse response, Content.Source body) {
            blocked.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void onFailure(UpstreamExchange.Failure failure) {
            blocked.countDown();
        }
    }
}
