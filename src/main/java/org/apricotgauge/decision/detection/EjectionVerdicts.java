package org.apricotgauge.decision.detection;

import java.util.List;
import java.util.Map;

/**
 * The verdicts on all configured targets of a service, from one decision.
 *
 * <pre>{@code
 * if (verdicts.isEligible("t1")) { send(...); }
 * }</pre>
 *
 * <p>Immutable: publish it by an atomic reference and read it once for each request.
 *
 * @param timeMillis when it was decided
 * @param byTarget verdict of each configured target
 * @param floorSlots the floor that held at the decision
 * @param eligibleSlots slots of the present targets that are not ejected
 * @param probesDue targets of which one repeatable request should be sent now, if the entries'
 *     common pause allows; at most one a decision
 */
public record EjectionVerdicts(
        long timeMillis,
        Map<String, EjectionVerdict> byTarget,
        int floorSlots,
        int eligibleSlots,
        List<String> probesDue) {
    /** Copies the parts. */
    public EjectionVerdicts {
        byTarget = Map.copyOf(byTarget);
        probesDue = List.copyOf(probesDue);
    }

    /**
     * Returns whether a target may get ordinary work as far as detection goes.
     *
     * <p>An unknown target is eligible: without evidence nobody is ejected.
     */
    public boolean isEligible(String targetId) {
        EjectionVerdict verdict = byTarget.get(targetId);
        return verdict == null || verdict.isEligible();
    }

    /** Returns the share of its usual work that a target should get, from 0 to 1. */
    public double weight(String targetId) {
        EjectionVerdict verdict = byTarget.get(targetId);
        return verdict == null ? 1 : verdict.weight();
    }
}
