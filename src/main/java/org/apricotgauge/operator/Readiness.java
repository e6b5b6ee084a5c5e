package org.apricotgauge.operator;

import org.apricotgauge.model.Checks;

/**
 * Whether callers should be sent to a node.
 *
 * @param isReady whether they should
 * @param reason why, in one line
 */
public record Readiness(boolean isReady, String reason) {

    /** Checks the parts. */
    public Readiness {
        Checks.notBlank("readiness.reason", reason);
    }
}
