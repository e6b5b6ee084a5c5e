package org.apricotgauge.bench.policy;

import org.apricotgauge.decision.detection.ObservationPoint;
import org.apricotgauge.decision.detection.ObservedOutcome;

/** A policy under measurement; targets go by their number. */
interface EjectionPolicy {

    /** Takes in one ended request; returns whether it was a cause to decide. */
    boolean observe(
            int target, ObservationPoint end, ObservedOutcome outcome, long micros, long nowMillis);

    /** Decides again. */
    void decide(long nowMillis);

    /** Returns whether the target takes ordinary work. */
    boolean isEligible(int target);

    /** Returns the target's share of its usual work. */
    default double weight(int target) {
        return isEligible(target) ? 1 : 0;
    }

    /** Returns a target that should be tried now, or -1. */
    default int probeDue() {
        return -1;
    }

    /** Returns the ejections that this policy spread to other entries wrongly, for path faults. */
    default int wrongForOthers() {
        return 0;
    }
}
