package org.apricotgauge.bench.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apricotgauge.model.Checks;
import org.apricotgauge.platform.kv.KvDialect;
import org.apricotgauge.platform.kv.KvStandin;
import org.jboss.logging.Logger;

/**
 * A caller that keeps its connections to one entry and sends on them until the process is gone,
 * whatever the entry's readiness says.
 */
final class SoakCaller implements Runnable {
    private static final Logger LOGGER = Logger.getLogger(SoakCaller.class);
    private static final int CONNECT_MILLIS = 2_000;
    private static final int SILENCE_MILLIS = 15_000;
    private static final long LOOK_EVERY_MILLIS = 20;
    private static final long AFTER_FAILURE_MILLIS = 100;
    private static final int MAX_BODY_PAUSE_MILLIS = 200;
    private static final int SLOW_BUFFER_BYTES = 8_192;
    private static final int SLOW_READ_MILLIS = 15;

    private final int mEntry;
    private final InetSocketAddress mAddress;
    private final Habit mHabit;
    private final CallerConnection.Pool mPool;
    private final Supplier<PlannedRequest> mSource;
    private final SplittableRandom mRandom;
    private final Environment mEnvironment;

    /** How a caller uses its connections. */
    enum Habit {
        /** Takes any idle connection to its entry that callers with this habit have opened. */
        POOLED,
        /** Keeps one connection and sends one request after the other. */
        STEADY,
        /** Sends idempotent requests in pairs, the second behind the first. */
        PIPELINED,
        /** Reads answers slowly, with a small window. */
        SLOW,
        /** Opens a connection for each request. */
        FRESH
    }

    /**
     * What callers share.
     *
     * @param millis the clock of the soak
     * @param isOver whether no further request shall be sent
     * @param isSending whether requests shall be sent now
     * @param exchanges takes each request when it has ended
     */
    record Environment(
            LongSupplier millis,
            BooleanSupplier isOver,
            BooleanSupplier isSending,
            Consumer<Exchange> exchanges) {}

    /** When the first and the last byte of a request were sent. */
    private record Sent(long begunMillis, long sentMillis) {}

    SoakCaller(
            int entry,
            InetSocketAddress address,
            Habit habit,
            CallerConnection.Pool pool,
            Supplier<PlannedRequest> source,
            SplittableRandom random,
            Environment environment) {
        mEntry = entry;
        mAddress = Checks.notNull("address", address);
        mHabit = Checks.notNull("habit", habit);
        mPool = Checks.notNull("pool", pool);
        mSource = Checks.notNull("source", source);
        mRandom = Checks.notNull("random", random);
        mEnvironment = Checks.notNull("environment", environment);
    }

    @Override
    public void run() {
        while (!mEnvironment.isOver().getAsBoolean()) {
            if (!mEnvironment.isSending().getAsBoolean()) {
                pause(LOOK_EVERY_MILLIS);
                continue;
            }
            try {
                CallerConnection idle = mPool.take();
                CallerConnection connection = idle == null ? open() : idle;
                boolean isKept = false;
                try {
                    isKept = use(connection);
                } finally {
                    if (isKept) {
                        mPool.give(connection);
                    } else {
                        connection.close();
                    }
                }
            } catch (IOException e) {
                LOGGER.debugf("no connection to entry %d: %s", mEntry, e);
                pause(AFTER_FAILURE_MILLIS);
            }
        }
        mPool.close();
    }

    private CallerConnection open() throws IOException {
        Socket socket = new Socket();
        try {
            if (mHabit == Habit.SLOW) {
                socket.setReceiveBufferSize(SLOW_BUFFER_BYTES);
            }
            socket.connect(mAddress, CONNECT_MILLIS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(SILENCE_MILLIS);
            InputStream in =
                    mHabit == Habit.SLOW
                            ? new SlowStream(socket.getInputStream())
                            : new BufferedInputStream(socket.getInputStream());
            return new CallerConnection(socket, in);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sends on a connection, and returns whether it can be used again. */
    private boolean use(CallerConnection connection) throws IOException {
        HttpReader reader = connection.reader();
        List<PlannedRequest> requests = nextRequests();
        List<Sent> sent = new ArrayList<>();
        String failure = send(requests, connection.out(), sent);
        boolean isOpen = true;
        for (int i = 0; i < sent.size(); i++) {
            Exchange exchange =
                    isOpen
                            ? receive(requests.get(i), i > 0, sent.get(i), reader)
                            : ended(requests.get(i), i > 0, sent.get(i), reader, failure);
            mEnvironment.exchanges().accept(exchange);
            if (!exchange.isWhole()) {
                failure = exchange.failure();
            }
            if (!exchange.isServed()) {
                pause(AFTER_FAILURE_MILLIS);
            }
            isOpen = exchange.isWhole() && !reader.isEndedByClose() && !isLast(exchange);
            reader.begin();
        }
        return isOpen && failure.isEmpty() && mHabit != Habit.FRESH;
    }

    private List<PlannedRequest> nextRequests() {
        PlannedRequest first = mSource.get();
        if (mHabit != Habit.PIPELINED || !first.isIdempotent() || first.bodyBytes() > 0) {
            return List.of(first);
        }
        PlannedRequest second = mSource.get();
        while (!second.isIdempotent() || second.bodyBytes() > 0) {
            second = mSource.get();
        }
        return List.of(first, second);
    }

    /** Sends requests, and returns why it could not send all; those begun count as sent. */
    private String send(List<PlannedRequest> requests, OutputStream out, List<Sent> sent) {
        for (PlannedRequest request : requests) {
            long begunMillis = now();
            try {
                out.write(head(request));
                if (request.bodyBytes() > 0) {
                    byte[] half = new byte[request.bodyBytes() / 2];
                    Arrays.fill(half, (byte) 'b');
                    out.write(half);
                    pause(mRandom.nextInt(MAX_BODY_PAUSE_MILLIS));
                    byte[] rest = new byte[request.bodyBytes() - half.length];
                    Arrays.fill(rest, (byte) 'b');
                    out.write(rest);
                }
                sent.add(new Sent(begunMillis, now()));
            } catch (IOException e) {
                // An answer or a refusal may be there to be read all the same.
                sent.add(new Sent(begunMillis, now()));
                return "not sent whole: " + e;
            }
        }
        return "";
    }

    private byte[] head(PlannedRequest request) {
        String length =
                request.bodyBytes() > 0 ? "Content-Length: " + request.bodyBytes() + "\r\n" : "";
        return "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n"
                .formatted(
                        request.bodyBytes() > 0 ? "POST" : "GET",
                        request.path(),
                        KvStandin.HOST,
                        KvDialect.REQUEST_ID,
                        request.id(),
                        KvDialect.TIMEOUT,
                        request.timeoutMillis(),
                        length)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private Exchange receive(
            PlannedRequest request, boolean isBehind, Sent sent, HttpReader reader) {
        reader.begin();
        try {
            reader.readHead();
            reader.readResponseBody();
        } catch (IOException e) {
            return ended(request, isBehind, sent, reader, e.toString());
        }
        boolean isExact = Arrays.equals(reader.body(), request.answer());
        if (reader.isEndedByClose() && !isExact) {
            return ended(request, isBehind, sent, reader, "the connection ended in a body");
        }
        return new Exchange(
                request,
                mEntry,
                isBehind,
                sent.begunMillis(),
                sent.sentMillis(),
                now(),
                reader.head(),
                reader.bytes(),
                true,
                isExact,
                "");
    }

    private Exchange ended(
            PlannedRequest request,
            boolean isBehind,
            Sent sent,
            HttpReader reader,
            String failure) {
        return new Exchange(
                request,
                mEntry,
                isBehind,
                sent.begunMillis(),
                sent.sentMillis(),
                now(),
                reader.head(),
                reader.bytes(),
                false,
                false,
                failure);
    }

    private static boolean isLast(Exchange exchange) {
        return "close".equalsIgnoreCase(exchange.head().header("Connection"));
    }

    private long now() {
        return mEnvironment.millis().getAsLong();
    }

    private static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Hands out small pieces, with a pause before each. */
    private static final class SlowStream extends BufferedInputStream {
        SlowStream(InputStream in) {
            super(in, SLOW_BUFFER_BYTES);
        }

        @Override
        public synchronized int read(byte[] bytes, int offset, int length) throws IOException {
            pause(SLOW_READ_MILLIS);
            return super.read(bytes, offset, Math.min(length, SLOW_BUFFER_BYTES));
        }
    }
}
