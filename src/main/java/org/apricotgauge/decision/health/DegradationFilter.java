package org.apricotgauge.decision.health;

import java.util.Arrays;

/**
 * The probability that one target is sick, under laws that are learned from the same target.
 *
 * <p>For each {@link EpisodeModel} the probability follows Bayes' rule; the laws are weighed by how
 * well they foretold what was seen. A little of the weight is dealt out evenly at each step, so
 * that a target whose spells change, or a real outage after hours of calm, is believed within some
 * ten requests. Not thread-safe.
 */
final class DegradationFilter {
    /** Part of the weight dealt out evenly at each step; a law needs 1/this requests to be lost. */
    private static final double UNIFORM_SHARE = 0.002;

    private final double[] mWeights = new double[EpisodeModel.MODELS.size()];
    private final double[] mDegraded = new double[EpisodeModel.MODELS.size()];
    private long mUpdatedAtMillis;
    private boolean mHasObservation;

    DegradationFilter() {
        Arrays.fill(mWeights, 1.0 / mWeights.length);
        for (int i = 0; i < mDegraded.length; i++) {
            mDegraded[i] = EpisodeModel.MODELS.get(i).degradedShare();
        }
    }

    /** Tells how likely something is at a target that fails this share of its requests. */
    @FunctionalInterface
    interface Likelihood {
        /** Returns a number in proportion to the probability of what was seen. */
        double of(double failShare);
    }

    /** Takes in something that was seen of the target. */
    void observe(Likelihood likelihood, long nowMillis) {
        advanceTo(nowMillis);
        double ifHealthy = likelihood.of(EpisodeModel.HEALTHY_FAILURE_RATE);
        double sum = 0;
        for (int i = 0; i < mDegraded.length; i++) {
            double sick =
                    mDegraded[i] * likelihood.of(EpisodeModel.MODELS.get(i).degradedFailureRate());
            double all = sick + (1 - mDegraded[i]) * ifHealthy;
            mDegraded[i] = sick / all;
            mWeights[i] *= all;
            sum += mWeights[i];
        }
        for (int i = 0; i < mWeights.length; i++) {
            mWeights[i] = (1 - UNIFORM_SHARE) * mWeights[i] / sum + UNIFORM_SHARE / mWeights.length;
        }
    }

    private void advanceTo(long nowMillis) {
        double passedMillis = mHasObservation ? Math.max(0, nowMillis - mUpdatedAtMillis) : 0;
        for (int i = 0; i < mDegraded.length; i++) {
            mDegraded[i] = EpisodeModel.MODELS.get(i).probabilityAfter(mDegraded[i], passedMillis);
        }
        mUpdatedAtMillis = mHasObservation ? Math.max(mUpdatedAtMillis, nowMillis) : nowMillis;
        mHasObservation = true;
    }

    /** Returns the probability that the target is sick at a moment. */
    double probabilityAt(long nowMillis) {
        double passedMillis = mHasObservation ? Math.max(0, nowMillis - mUpdatedAtMillis) : 0;
        double sick = 0;
        for (int i = 0; i < mDegraded.length; i++) {
            sick +=
                    mWeights[i]
                            * EpisodeModel.MODELS
                                    .get(i)
                                    .probabilityAfter(mDegraded[i], passedMillis);
        }
        return Math.max(0, Math.min(1, sick));
    }

    /** Returns what others may be told: the mean over the laws, each by its weight. */
    DegradationEstimate estimate(long nowMillis) {
        double usual = 0;
        double rate = 0;
        for (int i = 0; i < mDegraded.length; i++) {
            usual += mWeights[i] * EpisodeModel.MODELS.get(i).degradedShare();
            rate += mWeights[i] / EpisodeModel.MODELS.get(i).decayMillis();
        }
        return new DegradationEstimate(
                probabilityAt(nowMillis), Math.min(1, usual), 1 / rate, nowMillis);
    }
}
