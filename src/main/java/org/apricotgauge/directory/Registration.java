package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Target;

/**
 * The registration of a target at the platform.
 *
 * @param name name of the registration; a target may keep it across restarts
 * @param target this process of the target, with its own id
 * @param leaving whether the target announced that it is leaving
 * @param sequence number of writes by this process of the target
 * @param coldRemainingMillis remaining duration of the cold start at the time of the write, in
 *     milliseconds
 */
public record Registration(
        String name, Target target, boolean leaving, long sequence, long coldRemainingMillis) {

    /** Validates the components. */
    public Registration {
        Checks.notBlank("registration.name", name);
        Checks.notNull("registration.target", target);
        Checks.inRange("registration.coldRemainingMillis", coldRemainingMillis, 0, Long.MAX_VALUE);
    }
}
