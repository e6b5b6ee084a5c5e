package org.apricotgauge.target;

import com.codahale.metrics.Counter;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;

/**
 * Reports changes of the targets' rate limits with log lines, a counter and events.
 *
 * <pre>{@code
 * reporter.changed(target, Optional.of(limit), Optional.empty());
 * }</pre>
 *
 * @param log logs a line for each change
 * @param limitedTargets number of targets that have a limit at present
 * @param onChange called with a target and its new limit; empty if it no longer declares one
 */
record LimitReporter(
        TargetRunLog log,
        Counter limitedTargets,
        BiConsumer<Target, Optional<StartLimit>> onChange) {

    /**
     * Reports that a target declares a different limit than before.
     *
     * @param limit the new limit; empty if the target no longer declares one
     * @param before the previous limit; empty if there was none
     */
    void changed(Target target, Optional<StartLimit> limit, Optional<StartLimit> before) {
        limitedTargets.inc(count(limit) - count(before));
        log.limitChanged(target, limit, before);
        onChange.accept(target, limit);
    }

    /** Reports that a target declares an unreadable limit; the last readable one stays in force. */
    void unreadable(Target target, String text) {
        log.limitUnreadable(target, text);
    }

    private static int count(Optional<StartLimit> limit) {
        return limit.isPresent() ? 1 : 0;
    }
}
