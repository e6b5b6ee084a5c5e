package org.apricotgauge.node;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apricotgauge.http.ServerConnections;
import org.apricotgauge.model.Checks;

/**
 * Closes one port: accepts nothing more, closes each connection once nothing is left on it, and the
 * others at the end of the wait.
 *
 * <p>It waits for no thread of the server. A request that has come is answered by its handler, and
 * an answer is sent whole, within the wait.
 */
final class PortClose {
    private static final long POLL_MILLIS = 5;

    private final ServerConnections mConnections;
    private final BooleanSupplier mIsAtWork;
    private volatile ServerConnections.Counts mLeft = new ServerConnections.Counts(0, 0, 0, 0);

    /**
     * Creates the close of a port.
     *
     * @param isAtWork whether the port's handler is at work on a request
     */
    PortClose(ServerConnections connections, BooleanSupplier isAtWork) {
        mConnections = Checks.notNull("connections", connections);
        mIsAtWork = Checks.notNull("isAtWork", isAtWork);
    }

    void close(long waitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        mConnections.stopAccepting();
        while (!mConnections.closeSettled(mIsAtWork) && System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        mLeft = mConnections.count();
        mConnections.closeAll();
    }

    /** Returns what was left on the connections that were closed at the end of the wait. */
    ServerConnections.Counts left() {
        return mLeft;
    }
}
