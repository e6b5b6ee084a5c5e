package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Target;

/**
 * A target as it registered itself with the platform.
 *
 * @param name what it is registered under; a target that starts again may keep it
 * @param target this run of the target, with an id of its own
 * @param leaving whether it said that it leaves
 * @param sequence how often this run of the target had written
 * @param coldRemainingMillis how much longer it was slow after its start, when it wrote, in
 *     milliseconds
 */
public record Registration(
        String name, Target target, boolean leaving, long sequence, long coldRemainingMillis) {

    /** Checks the parts. */
    public Registration {
        Checks.notBlank("registration.name", name);
        Checks.notNull("registration.target", target);
        Checks.inRange("registration.coldMillis", coldRemainingMillis, 0, Long.MAX_VALUE);
    }
}
