package org.apricotgauge.decision.routing;

import java.util.Optional;
import org.apricotgauge.model.Checks;

/**
 * Reports the slots of the targets beside an entry, which the guard in the same process knows
 * exactly.
 *
 * <pre>{@code
 * boolean isFree = slots.find(targetId).filter(use -> use.free() > 0).isPresent();
 * }</pre>
 */
@FunctionalInterface
public interface LocalSlots {
    /** For an entry that decides without its guard. */
    LocalSlots NONE = targetId -> Optional.empty();

    /** Returns the slots of a target; empty if it is not beside this entry. */
    Optional<Use> find(String targetId);

    /**
     * Use of the slots of one target.
     *
     * @param free slots that are free, within the current concurrency limit
     * @param queued requests that wait for a slot
     */
    record Use(int free, int queued) {
        public Use {
            Checks.inRange("free", free, 0, Integer.MAX_VALUE);
            Checks.inRange("queued", queued, 0, Integer.MAX_VALUE);
        }
    }
}
