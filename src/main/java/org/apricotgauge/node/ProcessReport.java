package org.apricotgauge.node;

import java.time.Instant;
import org.apricotgauge.http.ServerConnections;
import org.apricotgauge.log.StateLog;
import org.jboss.logging.Logger;

/**
 * Logs the first and the last line of a stop.
 *
 * <p>A process that is killed can't tell it; its log has the first line and not the last one.
 */
final class ProcessReport {
    private static final StateLog LOG = new StateLog(Logger.getLogger(ProcessReport.class));

    private ProcessReport() {}

    /**
     * A stop that begins.
     *
     * @param remainingMillis time that the stop has
     * @param killMillis time until the platform kills the process
     * @param killAt when that is, as a time of day
     * @param peers peers that are told
     */
    record StopBegun(long remainingMillis, long killMillis, String killAt, int peers) {}

    /**
     * A process whose ports are closed.
     *
     * @param tookMillis time since the signal
     * @param entryPortMillis time that closing the callers' port took; {@link
     *     ParallelClose#UNFINISHED} if it did not end in time
     * @param guardPortMillis time that closing the guard's port took
     * @param entry callers' connections that were cut, and what was left on them
     * @param guard other nodes' connections that were cut, and what was left on them
     */
    record ProcessEnded(
            long tookMillis,
            long entryPortMillis,
            long guardPortMillis,
            ServerConnections.Counts entry,
            ServerConnections.Counts guard) {}

    static void logBegin(long remainingMillis, long killMillis, int peers) {
        String killAt = Instant.now().plusMillis(killMillis).toString();
        LOG.info("stop begins", new StopBegun(remainingMillis, killMillis, killAt, peers));
    }

    static void logEnd(ProcessEnded ended) {
        LOG.info("process ends", ended);
    }
}
