package org.apricotgauge.decision.detection;

/**
 * The decision of detection on one target at one time.
 *
 * @param targetId the target
 * @param state its state
 * @param weight share of its usual load that it should get, from 0 (none) to 1 (all)
 * @param scope whether the strongest evidence concerns the target or this node's path to it
 * @param statisticNats strongest evidence, in nats (natural log of the likelihood ratio)
 * @param thresholdNats the statistic at which the target is ejected, in nats
 * @param keptByFloor whether only the floor keeps it in service
 * @param evidence description of the evidence, with the statistic and its threshold
 */
public record EjectionVerdict(
        String targetId,
        VerdictState state,
        double weight,
        VerdictScope scope,
        double statisticNats,
        double thresholdNats,
        boolean keptByFloor,
        String evidence) {

    /** Returns whether detection allows ordinary requests to the target. */
    public boolean isEligible() {
        return state == VerdictState.HEALTHY || state == VerdictState.SUSPECT;
    }
}
