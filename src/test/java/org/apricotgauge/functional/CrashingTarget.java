package org.apricotgauge.functional;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiPredicate;

/** A target whose process ends under certain requests, and is back at its port a while later. */
public final class CrashingTarget implements AutoCloseable {
    /** How long the process is gone. */
    static final long DOWN_MILLIS = 1_200;

    /** How long a request is at work. */
    private static final long WORK_MILLIS = 100;

    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    /** Below the ports that the system gives to connections, so that none takes it meanwhile. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 32_000;
    private static final AtomicInteger NEXT_PORT = new AtomicInteger(FIRST_PORT);

    private final String mHost;
    private final BiPredicate<String, byte[]> mIsLethal;
    private final ScheduledExecutorService mSupervisor =
            Executors.newSingleThreadScheduledExecutor(CrashingTarget::daemon);
    private final AtomicInteger mLethalRuns = new AtomicInteger();
    private final AtomicInteger mAtWork = new AtomicInteger();
    private final AtomicInteger mCrashes = new AtomicInteger();
    private final int mPort;
    private RawTarget mProcess;

    private CrashingTarget(String host, BiPredicate<String, byte[]> isLethal) throws IOException {
        mHost = host;
        mIsLethal = isLethal;
        mProcess = startAtFreePort();
        mPort = mProcess.port();
    }

    /** Starts a target that ends under the requests, by head and body, that the predicate names. */
    static CrashingTarget start(BiPredicate<String, byte[]> isLethal) throws IOException {
        return start("127.0.0.1", isLethal);
    }

    /** Starts one at an IP number. */
    public static CrashingTarget start(String host, BiPredicate<String, byte[]> isLethal)
            throws IOException {
        return new CrashingTarget(host, isLethal);
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "crashing-target");
        thread.setDaemon(true);
        return thread;
    }

    private RawTarget startAtFreePort() throws IOException {
        while (true) {
            int port = NEXT_PORT.getAndIncrement();
            try {
                return RawTarget.start(mHost, port, this::answer);
            } catch (IOException e) {
                if (port >= LAST_PORT) {
                    throw e;
                }
            }
        }
    }

    private boolean answer(String head, byte[] body, OutputStream out) throws IOException {
        if (mIsLethal.test(head, body)) {
            mLethalRuns.incrementAndGet();
            crash();
            return false;
        }
        mAtWork.incrementAndGet();
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(WORK_MILLIS));
        mAtWork.decrementAndGet();
        out.write(OK.getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    /** Ends the process, and starts it again a while later. */
    synchronized void crash() throws IOException {
        if (mProcess == null) {
            return;
        }
        mCrashes.incrementAndGet();
        mProcess.close();
        mProcess = null;
        mSupervisor.schedule(this::restart, DOWN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void restart() {
        try {
            mProcess = RawTarget.start(mHost, mPort, this::answer);
        } catch (IOException e) {
            mSupervisor.schedule(this::restart, DOWN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the port that it listens at. */
    public int port() {
        return mPort;
    }

    synchronized boolean isUp() {
        return mProcess != null;
    }

    /** Returns how many lethal requests reached the target. */
    public int lethalRuns() {
        return mLethalRuns.get();
    }

    /** Returns how many requests are at work. */
    int atWork() {
        return mAtWork.get();
    }

    int crashes() {
        return mCrashes.get();
    }

    @Override
    public synchronized void close() throws IOException {
        mSupervisor.shutdownNow();
        if (mProcess != null) {
            mProcess.close();
        }
    }
}
