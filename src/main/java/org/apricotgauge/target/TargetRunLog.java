package org.apricotgauge.target;

import java.util.Optional;
import org.apricotgauge.log.BoundedLog;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Logs one line for each request that a guard sends to its target, and for each that ends before
 * its target has answered, at a bounded rate.
 *
 * <pre>{@code
 * log.started(new TargetRunLog.Started(id, fingerprint, target, attempt, view, 4, 1));
 * }</pre>
 *
 * <p>The guard makes the last check whether a target accepts requests. The line states which view
 * of the site it used, and how much time passed from the check to the first byte.
 */
final class TargetRunLog {
    /** Most lines of one node per second: about 8 KB, whatever the load. */
    static final int LINES_PER_SECOND = 40;

    /** Most lines per second on ends and offers; under load, starts would crowd them out. */
    static final int EVENT_LINES_PER_SECOND = 20;

    private final BoundedLog mLog;
    private final BoundedLog mEventLog;

    /**
     * A request whose first byte is about to be written to the target.
     *
     * @param id request id that the caller assigned
     * @param fingerprint hashes of the request's head and body, equal for duplicates
     * @param target id of the target
     * @param attempt value of the attempt header, as the entry sent it
     * @param view this node's view of the site when it admitted the request
     * @param queuedMillis time from the request's arrival at the guard to its admission
     * @param connectMillis time from the admission to the first byte
     */
    record Started(
            String id,
            String fingerprint,
            String target,
            String attempt,
            SiteView view,
            long queuedMillis,
            long connectMillis) {}

    /**
     * Something that this guard decided, or was told, about a request at its target.
     *
     * @param id request id that the caller assigned
     * @param target id of the target
     * @param attempt value of the attempt header, as the entry sent it
     * @param reason why
     * @param elapsedMillis time since the first byte was written to the target
     * @param stopMillis time until this node ends; null unless it stops
     */
    record RunEvent(
            String id,
            String target,
            String attempt,
            String reason,
            long elapsedMillis,
            Long stopMillis) {}

    private record EventLine(RunEvent run, long leftOut) {}

    private record Line(Started run, long leftOut) {}

    /** A change of a target's rate limit, in requests per second; null stands for no limit. */
    private record LimitChange(String target, Double perSecond, Double before, long leftOut) {}

    private record UnreadableLimit(String target, String text, long leftOut) {}

    TargetRunLog(Ticker ticker) {
        Logger logger = Logger.getLogger("org.apricotgauge.requests");
        mLog = new BoundedLog(logger, ticker, LINES_PER_SECOND);
        mEventLog = new BoundedLog(logger, ticker, EVENT_LINES_PER_SECOND);
    }

    void started(Started run) {
        mLog.info("run started", leftOut -> new Line(run, leftOut));
    }

    /** Logs that a run was ended before its target had answered. */
    void endedEarly(RunEvent event) {
        mEventLog.info("run ended early", leftOut -> new EventLine(event, leftOut));
    }

    /** Logs that the entry of a run was offered a further attempt beside it. */
    void furtherAttemptOffered(RunEvent event) {
        mEventLog.info("further attempt offered", leftOut -> new EventLine(event, leftOut));
    }

    /** Logs that a target declares a different rate limit than before, or none any more. */
    void limitChanged(Target target, Optional<StartLimit> limit, Optional<StartLimit> before) {
        mLog.info(
                limit.isPresent() ? "target names a limit" : "target names no limit any more",
                leftOut ->
                        new LimitChange(target.id(), perSecond(limit), perSecond(before), leftOut));
    }

    private static Double perSecond(Optional<StartLimit> limit) {
        return limit.map(StartLimit::perSecond).orElse(null);
    }

    /** Logs that a target declares an unreadable limit; the last readable one stays in force. */
    void limitUnreadable(Target target, String text) {
        mLog.info(
                "limit of a target is unreadable",
                leftOut -> new UnreadableLimit(target.id(), text, leftOut));
    }
}
