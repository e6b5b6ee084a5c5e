package org.apricotgauge.target;

import com.codahale.metrics.Counter;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;

/**
 * Tells operators which targets name a limit: by lines, a counter and events.
 *
 * <pre>{@code
 * report.changed(target, Optional.of(limit), Optional.empty());
 * }</pre>
 *
 * @param log takes a line for each change
 * @param limitedTargets counts the targets that have a limit now
 * @param onChange takes the limit that a target names from now on; nothing if it names none
 */
record LimitReporter(
        TargetRunLog log,
        Counter limitedTargets,
        BiConsumer<Target, Optional<StartLimit>> onChange) {

    /**
     * Tells that a target names another limit than before.
     *
     * @param limit what it names from now on; nothing if it names none
     * @param before what it named until now
     */
    void changed(Target target, Optional<StartLimit> limit, Optional<StartLimit> before) {
        limitedTargets.inc(count(limit) - count(before));
        log.limitChanged(target, limit, before);
        onChange.accept(target, limit);
    }

    /** Tells that a target names something as its limit that is none; the known one holds. */
    void unreadable(Target target, String text) {
        log.limitUnreadable(target, text);
    }

    private static int count(Optional<StartLimit> limit) {
        return limit.isPresent() ? 1 : 0;
    }
}
