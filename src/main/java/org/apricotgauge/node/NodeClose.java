package org.apricotgauge.node;

import java.util.List;
import java.util.function.IntSupplier;
import org.apricotgauge.http.ServerConnections;
import org.apricotgauge.model.Checks;
import org.apricotgauge.stop.StopSchedule;
import org.eclipse.jetty.server.Server;

/** Closes the ports that callers and other nodes use, beside each other. */
final class NodeClose {
    /** Time for answers that the schedule leaves no time for, in milliseconds. */
    private static final long SETTLE_MILLIS = 100;

    /** Time for the threads that close the ports to run, in milliseconds. */
    private static final long THREADS_MILLIS = 100;

    /** The JVM waits 300 ms for threads that are still in calls of the system, such as selects. */
    private static final long OTHERS_MILLIS = 150;

    private final StopSchedule mStop;
    private final PortClose mEntry;
    private final PortClose mGuard;

    /**
     * Creates the close of a node.
     *
     * @param entryInFlight how many requests of callers are at work
     * @param guardInFlight how many attempts are at work
     */
    NodeClose(
            StopSchedule stop,
            Server callerServer,
            Server guardServer,
            IntSupplier entryInFlight,
            IntSupplier guardInFlight) {
        mStop = Checks.notNull("stop", stop);
        mEntry =
                new PortClose(
                        new ServerConnections(callerServer), () -> entryInFlight.getAsInt() > 0);
        // The guard's port also takes requests for the keys that the entry owns.
        mGuard =
                new PortClose(
                        new ServerConnections(guardServer),
                        () -> entryInFlight.getAsInt() + guardInFlight.getAsInt() > 0);
    }

    /** Closes both ports; what is left to answer is answered until the schedule ends. */
    ProcessReport.ProcessEnded closePorts() throws InterruptedException {
        long waitMillis = SETTLE_MILLIS;
        if (mStop.hasBegun()) {
            waitMillis = Math.max(waitMillis, mStop.remainingMillis());
        }
        long settleMillis = waitMillis;
        ParallelClose close =
                new ParallelClose(
                        List.of(
                                () -> mEntry.close(settleMillis),
                                () -> mGuard.close(settleMillis)));
        List<Long> tookMillis = close.await(settleMillis + THREADS_MILLIS);
        return new ProcessReport.ProcessEnded(
                mStop.elapsedMillis(),
                tookMillis.get(0),
                tookMillis.get(1),
                mEntry.left(),
                mGuard.left());
    }

    /** Closes what neither callers nor other nodes notice, as far as there is time. */
    static void closeOthers(List<NodeHttp.Stoppable> parts) throws InterruptedException {
        new ParallelClose(parts).await(OTHERS_MILLIS);
    }
}
