package org.apricotgauge.decision.routing;

import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Target;

/**
 * A target with the state that {@link BalancingPolicy} chooses by.
 *
 * @param target the target
 * @param guard address of the guard beside the target, or null if the target is reached directly
 * @param leaving whether the target is leaving and must get no new requests
 * @param weight factor on the target's share of requests, from 0 (ejected) to 1 (healthy)
 * @param rampStartNanos when the target started cold, or {@link #NO_RAMP} if it is warm
 * @param load load of the target, shared by all routing tables
 */
public record Candidate(
        Target target,
        Address guard,
        boolean leaving,
        double weight,
        long rampStartNanos,
        TargetLoad load) {
    /** Value of {@code rampStartNanos} for a warm target. */
    public static final long NO_RAMP = Long.MIN_VALUE;

    public Candidate {
        Checks.notNull("target", target);
        Checks.inRange("weight", weight, 0.0, 1.0);
        Checks.notNull("load", load);
    }

    /** Returns whether the target may get new requests. */
    public boolean isEligible() {
        return !leaving && weight > 0;
    }
}
