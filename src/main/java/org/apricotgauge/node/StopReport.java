package org.apricotgauge.node;

import com.codahale.metrics.MetricRegistry;
import org.apricotgauge.log.StateLog;
import org.jboss.logging.Logger;

/** Logs, in one line, how a stop ended. */
final class StopReport {
    private static final StateLog LOG = new StateLog(Logger.getLogger(StopReport.class));

    private StopReport() {}

    /**
     * What became of the requests of a stop.
     *
     * @param tookMillis time since the signal
     * @param declined attempts that the guard declined
     * @param handedOver runs that the guard handed over to other targets
     * @param unfinished runs whose outcome the guard told as unknown
     * @param refused requests that the entry refused
     * @param ended requests that the entry ended without the answer of a target
     * @param cut requests that were in flight at the end
     */
    record StopEnded(
            long tookMillis,
            long declined,
            long handedOver,
            long unfinished,
            long refused,
            long ended,
            int cut) {}

    static void log(MetricRegistry registry, long tookMillis, int cut) {
        LOG.info("stop ends", read(registry, tookMillis, cut));
    }

    static StopEnded read(MetricRegistry registry, long tookMillis, int cut) {
        return new StopEnded(
                tookMillis,
                registry.counter("guard.stop.declined").getCount(),
                registry.counter("guard.stop.handed_over").getCount(),
                registry.counter("guard.stop.unfinished").getCount(),
                registry.counter("entry.stop.refused").getCount(),
                registry.counter("entry.stop.ended").getCount(),
                cut);
    }
}
