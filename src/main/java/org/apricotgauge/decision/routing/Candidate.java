package org.apricotgauge.decision.routing;

import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Target;

/**
 * A target as the balancer sees it.
 *
 * @param target the target
 * @param guard address of the node beside it, or null if it is reached directly
 * @param leaving whether it must get no new work
 * @param weight share of work it may get, from 0 (ejected) to 1 (healthy)
 * @param rampStartNanos when its cold start began; {@link #NO_RAMP} if it is warm
 * @param load its load, shared by all routing tables
 */
public record Candidate(
        Target target,
        Address guard,
        boolean leaving,
        double weight,
        long rampStartNanos,
        TargetLoad load) {
    /** Marks a target that needs no ramp. */
    public static final long NO_RAMP = Long.MIN_VALUE;

    /** Checks the parts. */
    public Candidate {
        Checks.notNull("target", target);
        Checks.inRange("weight", weight, 0.0, 1.0);
        Checks.notNull("load", load);
    }

    /** Returns whether the target may get new work at all. */
    public boolean isEligible() {
        return !leaving && weight > 0;
    }
}
