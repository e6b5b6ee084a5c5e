package org.apricotgauge.node;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.http.ServerConnections;
import org.apricotgauge.stop.StopSchedule;
import org.eclipse.jetty.server.Server;

/**
 * Keeps ports open for a moment after the drain, so that requests on the way are still answered, as
 * not run.
 *
 * <p>Idle connections end at once, on this side: a caller that would use one sees its end before it
 * sends. Without an answer to an attempt or a fence, an entry could not tell that an attempt did
 * not run.
 */
final class PortLinger {
    /** Some round trips of a slow link, in milliseconds. */
    static final long LINGER_MILLIS = 250;

    private static final long POLL_MILLIS = 10;

    private final StopSchedule mStop;
    private final List<ServerConnections> mPorts;

    PortLinger(StopSchedule stop, Server... servers) {
        mStop = stop;
        mPorts = Arrays.stream(servers).map(ServerConnections::new).toList();
    }

    /** Waits while peers leave the connections, at most to the end of the schedule. */
    void await() throws InterruptedException {
        long endMillis = Math.max(0, mStop.remainingMillis() - LINGER_MILLIS);
        while (mStop.remainingMillis() > endMillis) {
            mPorts.forEach(ServerConnections::endIdle);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }
}
