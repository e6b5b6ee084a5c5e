package org.apricotgauge.decision.detection;

import java.util.List;
import java.util.Map;

/**
 * The verdicts of one decision on all configured targets of a service.
 *
 * <pre>{@code
 * if (verdicts.isEligible("t1")) { send(...); }
 * }</pre>
 *
 * <p>Immutable: publish it by an atomic reference and read it once per request.
 *
 * @param timeMillis time of the decision
 * @param byTarget verdict of each configured target
 * @param floorSlots the floor at the decision, in slots
 * @param eligibleSlots slots of the present targets that are not ejected
 * @param probesDue targets to which one idempotent request should be sent now as a probe, if the
 *     probe interval that all entries share allows it; at most one per decision
 */
public record EjectionVerdicts(
        long timeMillis,
        Map<String, EjectionVerdict> byTarget,
        int floorSlots,
        int eligibleSlots,
        List<String> probesDue) {
    /** Copies the collections. */
    public EjectionVerdicts {
        byTarget = Map.copyOf(byTarget);
        probesDue = List.copyOf(probesDue);
    }

    /**
     * Returns whether detection allows ordinary requests to a target.
     *
     * <p>An unknown target is eligible, as no target is ejected without evidence.
     */
    public boolean isEligible(String targetId) {
        EjectionVerdict verdict = byTarget.get(targetId);
        return verdict == null || verdict.isEligible();
    }

    /** Returns the share of its usual load that a target should get, from 0 to 1. */
    public double weight(String targetId) {
        EjectionVerdict verdict = byTarget.get(targetId);
        return verdict == null ? 1 : verdict.weight();
    }
}
