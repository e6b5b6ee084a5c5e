package org.apricotgauge.decision.effect;

import org.apricotgauge.model.Checks;

/**
 * The outcomes at one node before and after a change.
 *
 * @param before outcomes while versions before the change were in force
 * @param after outcomes while the version with the change or a later one was in force
 */
public record NodeOutcomes(OutcomeShare before, OutcomeShare after) {

    /** Validates the components. */
    public NodeOutcomes {
        Checks.notNull("before", before);
        Checks.notNull("after", after);
    }
}
