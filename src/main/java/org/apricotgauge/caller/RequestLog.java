package org.apricotgauge.caller;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.decision.access.Access;
import org.apricotgauge.log.BoundedLog;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Logs one line for each failed request and for a sample of the successful ones.
 *
 * <pre>{@code
 * log.logEnded(
 *     new RequestLog.EndedRequest(
 *         id, route, service, "not-run", steps, tookMillis, version, origin));
 * }</pre>
 *
 * <p>An engineer on call searches by a request's id. The line names the node that each attempt was
 * sent to and its outcome, so that the guard's lines, which carry the same id, have to be looked up
 * at that node only. At most {@link #LINES_PER_SECOND} are written; the next line contains the
 * number of lines omitted. Thread-safe.
 */
final class RequestLog {
    /** Most lines of one node per second: about 10 KB, whatever the load. */
    static final int LINES_PER_SECOND = 40;

    /** One in this many successful requests is logged. */
    static final int SAMPLE_INTERVAL = 16;

    private final BoundedLog mLog;
    private final AtomicLong mSuccessCount = new AtomicLong();

    /**
     * The end of a request.
     *
     * @param id identifier that the caller assigned
     * @param route its route
     * @param service the service that was chosen for it
     * @param outcome the outcome that was sent to its caller
     * @param steps the attempts and their outcomes, in order
     * @param tookMillis time from the arrival of its head to its end, in milliseconds
     * @param version version of the configuration that it was routed with
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

    /** A request that was denied; its API key, valid or not, is never logged. */
    private record DeniedRequestLine(
            String id, String route, Access.Reason reason, String origin, long leftOut) {}

    RequestLog(Ticker ticker) {
        mLog =
                new BoundedLog(
                        Logger.getLogger("org.apricotgauge.requests"), ticker, LINES_PER_SECOND);
    }

    /** Returns whether the next successful request is in the sample; counts the request. */
    boolean shouldSample() {
        return mSuccessCount.getAndIncrement() % SAMPLE_INTERVAL == 0;
    }

    /** Logs a request that was denied because of its credentials. */
    void logDenied(String id, String route, Access.Reason reason, String origin) {
        mLog.info(
                "request denied",
                leftOut -> new DeniedRequestLine(id, route, reason, origin, leftOut));
    }

    void logEnded(EndedRequest request) {
        mLog.info("request ended", leftOut -> new EndedRequestLine(request, leftOut));
    }
}
