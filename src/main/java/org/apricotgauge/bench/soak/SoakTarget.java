package org.apricotgauge.bench.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apricotgauge.model.Checks;
import org.apricotgauge.platform.kv.KvDialect;
import org.jboss.logging.Logger;

/** A target that runs each request as its path says, and tells each run. */
final class SoakTarget implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(SoakTarget.class);
    private static final int BACKLOG = 256;

    private final int mNode;
    private final LongSupplier mMillis;
    private final Consumer<RunRecord> mRuns;
    private final ExecutorService mThreads;
    private final ServerSocket mServer;
    private final AtomicInteger mRunning = new AtomicInteger();

    /**
     * Opens the target.
     *
     * @param node number of its VM
     * @param address where it serves
     * @param millis the clock of the soak
     * @param threads run its connections
     * @param runs takes each run when it has ended
     */
    SoakTarget(
            int node,
            InetSocketAddress address,
            LongSupplier millis,
            ExecutorService threads,
            Consumer<RunRecord> runs)
            throws IOException {
        mNode = node;
        mMillis = Checks.notNull("millis", millis);
        mThreads = Checks.notNull("threads", threads);
        mRuns = Checks.notNull("runs", runs);
        mServer = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
        threads.execute(this::accept);
    }

    static InetSocketAddress addressOf(String host, int port) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(host), port);
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                mThreads.execute(() -> serve(socket));
            } catch (IOException e) {
                LOGGER.debugf("target %d accepts nothing more: %s", mNode, e);
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            HttpReader reader = new HttpReader(in);
            Framing framing = Framing.LENGTH;
            while (framing != Framing.CLOSE) {
                reader.begin();
                framing = run(reader.readHead(), reader, socket, in);
            }
        } catch (IOException e) {
            // The guard closes idle connections, and breaks off those of cancelled runs.
            LOGGER.debugf("connection to target %d ended: %s", mNode, e);
        }
    }

    /** Runs a request, and returns how its answer ended. */
    private Framing run(HttpReader.Head head, HttpReader reader, Socket socket, InputStream in)
            throws IOException {
        long startMillis = mMillis.getAsLong();
        PlannedRequest request = PlannedRequest.ofPath(head.firstLine().split(" ", 3)[1]);
        long plannedEndMillis = startMillis + request.runMillis();
        boolean isWhole = false;
        mRunning.incrementAndGet();
        try {
            reader.readBody();
            answer(request, plannedEndMillis, socket, in);
            isWhole = true;
        } finally {
            mRuns.accept(
                    new RunRecord(
                            request.id(),
                            mNode,
                            startMillis,
                            plannedEndMillis,
                            mMillis.getAsLong(),
                            isWhole));
            mRunning.decrementAndGet();
        }
        return request.framing();
    }

    /** Returns how many requests run now. */
    int running() {
        return mRunning.get();
    }

    private void answer(
            PlannedRequest request, long plannedEndMillis, Socket socket, InputStream in)
            throws IOException {
        byte[] body = request.answer();
        OutputStream out = socket.getOutputStream();
        if (request.pauseMillis() == 0) {
            waitUntil(plannedEndMillis, socket, in);
            out.write(head(request));
            writePart(out, request, body, 0, body.length);
        } else {
            waitUntil(plannedEndMillis - request.pauseMillis(), socket, in);
            out.write(head(request));
            writePart(out, request, body, 0, body.length / 2);
            out.flush();
            waitUntil(plannedEndMillis, socket, in);
            writePart(out, request, body, body.length / 2, body.length);
        }
        if (request.framing() == Framing.CHUNKED) {
            out.write(ascii("0\r\n\r\n"));
        }
        out.flush();
    }

    private byte[] head(PlannedRequest request) {
        String length =
                switch (request.framing()) {
                    case LENGTH -> "Content-Length: " + request.answerBytes();
                    case CHUNKED -> "Transfer-Encoding: chunked";
                    case CLOSE -> "Connection: close";
                };
        return ascii(
                "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: soak-%d\r\n%s\r\n\r\n"
                        .formatted(
                                KvDialect.REQUEST_ID,
                                request.id(),
                                KvDialect.TARGET_MARK,
                                mNode,
                                length));
    }

    private static void writePart(
            OutputStream out, PlannedRequest request, byte[] body, int from, int to)
            throws IOException {
        if (request.framing() == Framing.CHUNKED) {
            out.write(ascii(Integer.toHexString(to - from) + "\r\n"));
        }
        out.write(body, from, to - from);
        if (request.framing() == Framing.CHUNKED) {
            out.write(ascii("\r\n"));
        }
    }

    // Waits in a read, so that the end of the connection is seen at once.
    private void waitUntil(long millis, Socket socket, InputStream in) throws IOException {
        for (long left = millis - mMillis.getAsLong();
                left > 0;
                left = millis - mMillis.getAsLong()) {
            socket.setSoTimeout((int) left);
            try {
                throw new IOException(
                        in.read() < 0 ? "the guard closed" : "the guard sent more than a request");
            } catch (SocketTimeoutException e) {
                LOGGER.tracef("the run at target %d goes on: %s", mNode, e);
            }
        }
        socket.setSoTimeout(0);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
