package org.apricotgauge.decision.detection;

/**
 * What is decided about one target at one time.
 *
 * @param targetId the target
 * @param state its standing
 * @param weight share of its usual work that it should get, from 0 (none) to 1 (all)
 * @param scope for whom the strongest evidence speaks
 * @param statisticNats strongest evidence, in nats (natural log of the likelihood ratio)
 * @param thresholdNats the statistic at which the target is ejected, in nats
 * @param keptByFloor whether only the floor keeps it in service
 * @param evidence the reasons in words, with the statistic and its threshold
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

    /** Returns whether the target may get ordinary work as far as detection goes. */
    public boolean isEligible() {
        return state == VerdictState.HEALTHY || state == VerdictState.SUSPECT;
    }
}
