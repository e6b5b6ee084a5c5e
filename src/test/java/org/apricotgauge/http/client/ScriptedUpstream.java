package org.apricotgauge.http.client;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.model.Address;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** A started client, and an upstream whose every byte a test writes. */
final class ScriptedUpstream implements AutoCloseable {
    static final long TIMEOUT_MILLIS = 10_000;

    private final QueuedThreadPool mThreads = new QueuedThreadPool();
    private final ScheduledExecutorScheduler mScheduler = new ScheduledExecutorScheduler();
    private final UpstreamClientFactory mClients =
            new UpstreamClientFactory(mThreads, mScheduler, TIMEOUT_MILLIS);
    private final ServerSocket mServer;
    private final UpstreamClient mClient;

    ScriptedUpstream() throws Exception {
        mServer = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout((int) TIMEOUT_MILLIS);
        mThreads.start();
        mScheduler.start();
        mClients.start();
        mClient = mClients.create(new UpstreamClientFactory.Limits(60_000, 8, 8));
    }

    UpstreamClient client() {
        return mClient;
    }

    Address address() {
        return new Address("127.0.0.1", mServer.getLocalPort());
    }

    /** Accepts the next connection of the client, and reads the head of its request. */
    Socket accept() throws IOException {
        Socket connection = mServer.accept();
        InputStream in = connection.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        return connection;
    }

    /** Fetches with a GET request. */
    CompletableFuture<FetchedResponse> fetch(int maxBytes) {
        return mClient.fetch(
                UpstreamRequest.get(address(), "/", HttpFields.EMPTY), maxBytes, TIMEOUT_MILLIS);
    }

    /** Sends a POST request. */
    Recorder post(Content.Source body) {
        Recorder recorder = new Recorder();
        mClient.send(new UpstreamRequest(address(), "POST", "/", HttpFields.EMPTY, body), recorder);
        return recorder;
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(ISO_8859_1));
    }

    static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Keeps the source of a response's body. */
    static final class Recorder implements UpstreamExchange.Listener {
        private final CompletableFuture<Content.Source> mBody = new CompletableFuture<>();

        @Override
        public void onAnswer(UpstreamResponse response, Content.Source body) {
            mBody.complete(body);
        }

        @Override
        public void onFailure(UpstreamExchange.Failure failure) {
            mBody.completeExceptionally(failure.cause());
        }

        Content.Source body() throws Exception {
            return get(mBody);
        }
    }

    @Override
    public void close() {
        try {
            mClients.stop();
            mScheduler.stop();
            mThreads.stop();
            mServer.close();
        } catch (Exception e) {
            throw new IllegalStateException("upstream does not stop", e);
        }
    }
}
