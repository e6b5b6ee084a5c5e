package org.apricotgauge.decision.effect;

import org.apricotgauge.model.Checks;

/**
 * What one node saw before and after a change.
 *
 * @param before while earlier versions were in force
 * @param after while the version or a later one was in force
 */
public record NodeOutcomes(OutcomeShare before, OutcomeShare after) {

    /** Checks the parts. */
    public NodeOutcomes {
        Checks.notNull("before", before);
        Checks.notNull("after", after);
    }
}
