package org.apricotgauge.target;

import java.util.Optional;
import org.apricotgauge.log.BoundedLog;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Writes one line for each request that a guard sends to its target, for as many as there is room.
 *
 * <pre>{@code
 * log.started(new RunLog.Started(id, fingerprint, target, attempt, view, 4, 1));
 * }</pre>
 *
 * <p>The guard is the last to look at whether a target takes work. Its line tells by which view of
 * the site it let the request pass, and how long ago it looked when the first byte went out.
 */
final class TargetRunLog {
    /** Lines of one node in a second: about 8 KB, whatever the load. */
    static final int LINES_PER_SECOND = 40;

    private final BoundedLog mLog;

    /**
     * A request whose first byte goes to the target.
     *
     * @param id identifier that the caller gave the request
     * @param fingerprint what makes the request the same as others
     * @param target id of the target
     * @param attempt address of the attempt, as the entry sent it
     * @param view what this node knew of the site when it let the request pass
     * @param queuedMillis time from the request's arrival here to its slot
     * @param connectMillis time from the slot to the first byte
     */
    record Started(
            String id,
            String fingerprint,
            String target,
            String attempt,
            SiteView view,
            long queuedMillis,
            long connectMillis) {}

    private record Line(Started run, long leftOut) {}

    /** A change of a target's limit, in requests a second; null where there is none. */
    private record LimitChange(String target, Double perSecond, Double before, long leftOut) {}

    private record UnreadableLimit(String target, String text, long leftOut) {}

    TargetRunLog(Ticker ticker) {
        mLog =
                new BoundedLog(
                        Logger.getLogger("org.apricotgauge.requests"), ticker, LINES_PER_SECOND);
    }

    void started(Started run) {
        mLog.info("run started", leftOut -> new Line(run, leftOut));
    }

    /** Tells that a target names another limit than before, or none any more. */
    void limitChanged(Target target, Optional<StartLimit> limit, Optional<StartLimit> before) {
        mLog.info(
                limit.isPresent() ? "target names a limit" : "target names no limit any more",
                leftOut ->
                        new LimitChange(target.id(), perSecond(limit), perSecond(before), leftOut));
    }

    private static Double perSecond(Optional<StartLimit> limit) {
        return limit.map(StartLimit::perSecond).orElse(null);
    }

    /** Tells that a target names something as its limit that is none; the known one holds. */
    void limitUnreadable(Target target, String text) {
        mLog.info(
                "limit of a target is unreadable",
                leftOut -> new UnreadableLimit(target.id(), text, leftOut));
    }
}
