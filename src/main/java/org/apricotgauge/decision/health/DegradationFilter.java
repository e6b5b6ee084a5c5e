package org.apricotgauge.decision.health;

import java.util.Arrays;

/**
 * Bayesian filter that estimates the probability that one target is degraded.
 *
 * <p>For each {@link EpisodeModel} the probability is updated by Bayes' rule; the models are
 * weighted by how well they predicted the observations at this target. A small share of the weight
 * is spread evenly at each observation, so that changed episodes, or an outage after hours without
 * failures, are detected within some ten requests. Not thread-safe.
 */
final class DegradationFilter {
    /**
     * Share of the weight spread evenly over the models at each observation; a model needs about
     * {@code 1 / UNIFORM_SHARE} requests to lose its weight.
     */
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

    /** Likelihood of an observation as a function of the target's failure rate. */
    @FunctionalInterface
    interface Likelihood {
        /** Returns a value proportional to the probability of the observation. */
        double of(double failureRate);
    }

    /** Updates the estimate with an observation of the target. */
    void observe(Likelihood likelihood, long nowMillis) {
        advanceTo(nowMillis);
        double ifHealthy = likelihood.of(EpisodeModel.HEALTHY_FAILURE_RATE);
        double sum = 0;
        for (int i = 0; i < mDegraded.length; i++) {
            double degraded =
                    mDegraded[i] * likelihood.of(EpisodeModel.MODELS.get(i).degradedFailureRate());
            double total = degraded + (1 - mDegraded[i]) * ifHealthy;
            mDegraded[i] = degraded / total;
            mWeights[i] *= total;
            sum += mWeights[i];
        }
        for (int i = 0; i < mWeights.length; i++) {
            mWeights[i] = (1 - UNIFORM_SHARE) * mWeights[i] / sum + UNIFORM_SHARE / mWeights.length;
        }
    }

    private void advanceTo(long nowMillis) {
        double elapsedMillis = mHasObservation ? Math.max(0, nowMillis - mUpdatedAtMillis) : 0;
        for (int i = 0; i < mDegraded.length; i++) {
            mDegraded[i] = EpisodeModel.MODELS.get(i).probabilityAfter(mDegraded[i], elapsedMillis);
        }
        mUpdatedAtMillis = mHasObservation ? Math.max(mUpdatedAtMillis, nowMillis) : nowMillis;
        mHasObservation = true;
    }

    /** Returns the probability that the target is degraded at the given time. */
    double probabilityAt(long nowMillis) {
        double elapsedMillis = mHasObservation ? Math.max(0, nowMillis - mUpdatedAtMillis) : 0;
        double degraded = 0;
        for (int i = 0; i < mDegraded.length; i++) {
            degraded +=
                    mWeights[i]
                            * EpisodeModel.MODELS
                                    .get(i)
                                    .probabilityAfter(mDegraded[i], elapsedMillis);
        }
        return Math.max(0, Math.min(1, degraded));
    }

    /** Returns the estimate to report to other nodes: the weighted mean over the models. */
    DegradationEstimate estimate(long nowMillis) {
        double baseline = 0;
        double decayRate = 0;
        for (int i = 0; i < mDegraded.length; i++) {
            baseline += mWeights[i] * EpisodeModel.MODELS.get(i).degradedShare();
            decayRate += mWeights[i] / EpisodeModel.MODELS.get(i).decayMillis();
        }
        return new DegradationEstimate(
                probabilityAt(nowMillis), Math.min(1, baseline), 1 / decayRate, nowMillis);
    }
}
