package org.apricotgauge.caller;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.decision.access.Access;
import org.apricotgauge.log.BoundedLog;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Writes one line for each request that ended badly and for a sample of the others.
 *
 * <pre>{@code
 * log.ended(new DecisionLog.Ended(id, route, service, "not-run", steps, tookMillis, version));
 * }</pre>
 *
 * <p>An engineer on call starts from a request's id. The line tells what each attempt was sent to
 * and what became of it, so that the guard's lines, which bear the same id, need only be looked up
 * at the node that is named. At most {@link #LINES_PER_SECOND} are written; the next line tells how
 * many were left out. Thread-safe.
 */
final class RequestLog {
    /** Lines of one node in a second: about 10 KB, whatever the load. */
    static final int LINES_PER_SECOND = 40;

    /** One in so many requests that ended well leaves a line. */
    static final int SAMPLE_INTERVAL = 16;

    private final BoundedLog mLog;
    private final AtomicLong mSuccessCount = new AtomicLong();

    /**
     * How a request ended.
     *
     * @param id identifier that the caller gave it
     * @param route its route
     * @param service the service that was chosen for it
     * @param outcome what its caller was told
     * @param steps what was tried, in order
     * @param tookMillis time from its head to the decision, in milliseconds
     * @param version version of the configuration that it was routed by
     * @param origin address of the caller
     */
    record EndedRequest(
            String id,
            String route,
            String service,
            String outcome,
            List<String> steps,
            long tookMillis,
            long version,
            String origin) {}

    private record EndedRequestLine(EndedRequest request, long leftOut) {}

    /** A request that was not let in; its key, right or wrong, is never written. */
    private record DeniedRequestLine(
            String id, String route, Access.Reason reason, String origin, long leftOut) {}

    RequestLog(Ticker ticker) {
        mLog =
                new BoundedLog(
                        Logger.getLogger("org.apricotgauge.requests"), ticker, LINES_PER_SECOND);
    }

    /** Returns whether a request that ended well is in the sample. */
    boolean shouldSample() {
        return mSuccessCount.getAndIncrement() % SAMPLE_INTERVAL == 0;
    }

    /** Tells of a request that was refused for what it brought to show whom it comes from. */
    void logDenied(String id, String route, Access.Reason reason, String origin) {
        mLog.info(
                "request denied",
                leftOut -> new DeniedRequestLine(id, route, reason, origin, leftOut));
    }

    void logEnded(EndedRequest request) {
        mLog.info("request ended", leftOut -> new EndedRequestLine(request, leftOut));
    }
}
