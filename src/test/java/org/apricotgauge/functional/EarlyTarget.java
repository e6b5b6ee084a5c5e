package org.apricotgauge.functional;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A target that answers one upload before it has read its body, and then ends the connection. */
final class EarlyTarget implements AutoCloseable {
    private static final long WAIT_SECONDS = 10;

    private final ServerSocket mServer;
    private final CompletableFuture<Void> mMayEnd = new CompletableFuture<>();
    private final CompletableFuture<Void> mEnded;

    /** Ends the connection on which an answer was sent. */
    @FunctionalInterface
    interface End {
        /** Ends sending or the whole connection; it is closed afterwards in any case. */
        void end(Socket connection) throws IOException;
    }

    /** Starts a target that sends an answer and, once it is told to, ends the connection. */
    EarlyTarget(String answer, End end) throws IOException {
        mServer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        mEnded = CompletableFuture.runAsync(() -> serve(answer, end));
    }

    /** Resets a connection at once. */
    static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Lets the target end its connection. */
    void end() {
        mMayEnd.complete(null);
    }

    private void serve(String answer, End end) {
        try (Socket connection = mServer.accept()) {
            RawTarget.readHead(connection.getInputStream());
            connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            mMayEnd.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
            end.end(connection);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        end();
        mEnded.join();
        mServer.close();
    }
}
