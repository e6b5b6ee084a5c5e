package org.apricotgauge.functional;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A hand-written target that answers each request with the bytes that a script gives. */
final class RawTarget implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";

    private final ServerSocket mServer;
    private final Script mScript;
    private final List<String> mHeads = new CopyOnWriteArrayList<>();
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger mRuns = new AtomicInteger();

    /** Answers one request. */
    @FunctionalInterface
    interface Script {
        /** Writes the answer; the connection is closed if this returns false. */
        boolean answer(String head, byte[] body, OutputStream out)
                throws IOException, InterruptedException;
    }

    private RawTarget(String host, int port, Script script) throws IOException {
        mScript = script;
        mServer = new ServerSocket(port, 64, InetAddress.getByName(host));
        start("raw-target", this::accept);
    }

    static RawTarget start(Script script) throws IOException {
        return new RawTarget(LOOPBACK, 0, script);
    }

    /** Starts at an address. */
    static RawTarget start(String host, int port, Script script) throws IOException {
        return new RawTarget(host, port, script);
    }

    /** Returns a script that answers every request alike and keeps the connection. */
    static Script always(String answer) {
        return (head, body, out) -> {
            out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
            return true;
        };
    }

    private static void start(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Returns how many requests reached this target. */
    int runs() {
        return mRuns.get();
    }

    /** Returns the heads of the requests that reached this target. */
    List<String> heads() {
        return mHeads;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                mSockets.add(socket);
                start("raw-target-connection", () -> serve(socket));
            }
        } catch (IOException ignored) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            String head = readHead(in);
            while (head != null) {
                byte[] body = readBody(head, in);
                mHeads.add(head);
                mRuns.incrementAndGet();
                OutputStream out = socket.getOutputStream();
                if (!mScript.answer(head, body, out)) {
                    return;
                }
                out.flush();
                head = readHead(in);
            }
        } catch (IOException | InterruptedException ignored) {
            // The peer went away, which tests do on purpose.
        }
    }

    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
            boolean expected = next == (matched % 2 == 0 ? '\r' : '\n');
            matched = expected ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private static byte[] readBody(String head, InputStream in) throws IOException {
        for (String line : head.toLowerCase(Locale.ROOT).split("\r\n")) {
            if (line.startsWith("content-length:")) {
                return in.readNBytes(Integer.parseInt(line.substring(15).strip()));
            }
        }
        return head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")
                ? readChunks(in)
                : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in), 16);
            body.write(in.readNBytes(size));
            readLine(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }
}
