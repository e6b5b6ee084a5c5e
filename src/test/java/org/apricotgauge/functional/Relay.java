package org.apricotgauge.functional;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntSupplier;

/**
 * A relay between two hops whose open connections can go silent, one way or both, while new ones
 * work; what was held back can arrive late.
 */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;

    private final ServerSocket mServer;
    private final IntSupplier mTo;
    private final List<Pump> mPumps = new CopyOnWriteArrayList<>();
    private volatile boolean mCut;
    private volatile Way mSilentWay;

    /** Which way bytes go. */
    enum Way {
        THERE,
        BACK
    }

    Relay(IntSupplier to) throws IOException {
        mTo = to;
        mServer = new ServerSocket();
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        start(this::accept);
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Holds back what the connections that are open now carry in one direction. */
    void silence(Way way) {
        mPumps.stream().filter(pump -> pump.mWay == way).forEach(Pump::hold);
    }

    /** Holds back one direction of all connections, also of those that open from now on. */
    void silenceAll(Way way) {
        mSilentWay = way;
        silence(way);
    }

    /** Takes no new connections, and holds back what the open ones carry, as a lost VM does. */
    void loseVm() throws IOException {
        mServer.close();
        silence(Way.THERE);
        silence(Way.BACK);
    }

    /** Lets what was held back arrive, late. */
    void release() {
        mSilentWay = null;
        mPumps.forEach(Pump::release);
    }

    /** Ends every connection and takes no new one. */
    void cut() throws IOException {
        mCut = true;
        mServer.close();
        for (Pump pump : mPumps) {
            pump.mFrom.close();
            pump.mTo.close();
        }
    }

    private void accept() {
        try {
            while (!mCut) {
                Socket from = mServer.accept();
                Socket to = new Socket(InetAddress.getLoopbackAddress(), mTo.getAsInt());
                from.setTcpNoDelay(true);
                to.setTcpNoDelay(true);
                for (Pump pump :
                        List.of(new Pump(Way.THERE, from, to), new Pump(Way.BACK, to, from))) {
                    mPumps.add(pump);
                    if (pump.mWay == mSilentWay) {
                        pump.hold();
                    }
                    start(pump::run);
                }
            }
        } catch (IOException ignored) {
            // closed
        }
    }

    @Override
    public void close() throws IOException {
        cut();
    }

    /** One direction of one connection. */
    private static final class Pump {
        private final Way mWay;
        private final Socket mFrom;
        private final Socket mTo;
        private final ByteArrayOutputStream mHeld = new ByteArrayOutputStream();
        private boolean mHolding;

        private Pump(Way way, Socket from, Socket to) {
            mWay = way;
            mFrom = from;
            mTo = to;
        }

        private synchronized void hold() {
            mHolding = true;
        }

        private synchronized void release() {
            mHolding = false;
            try {
                mTo.getOutputStream().write(mHeld.toByteArray());
            } catch (IOException ignored) {
                // The receiver has gone meanwhile; then nothing arrives, late or not.
            }
            mHeld.reset();
        }

        private void run() {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = mFrom.getInputStream();
                int read = in.read(buffer);
                while (read >= 0) {
                    pass(buffer, read);
                    read = in.read(buffer);
                }
                end();
            } catch (IOException ignored) {
                // one side closed
            }
        }

        private synchronized void pass(byte[] buffer, int length) throws IOException {
            if (mHolding) {
                mHeld.write(buffer, 0, length);
                return;
            }
            OutputStream out = mTo.getOutputStream();
            out.write(buffer, 0, length);
            out.flush();
        }

        /** Passes an end on, unless the path is silent: then the end is lost like all else. */
        private synchronized void end() throws IOException {
            if (!mHolding) {
                mTo.shutdownOutput();
            }
        }
    }
}
