package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Target;

/**
 * A target as it registered itself with the platform.
 *
 * @param target the target
 * @param leaving whether it said that it leaves
 * @param coldMillis how much longer it was slow after its start, when it wrote, in milliseconds
 */
public record Registration(Target target, boolean leaving, long coldMillis) {

    /** Checks the parts. */
    public Registration {
        Checks.notNull("registration.target", target);
        Checks.inRange("registration.coldMillis", coldMillis, 0, Long.MAX_VALUE);
    }
}
