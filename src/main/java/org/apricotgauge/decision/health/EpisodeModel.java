package org.apricotgauge.decision.health;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * Model of gray-failure episodes: a hidden Markov model with a healthy and a degraded state.
 *
 * <p>How long the episodes of a site last, for which share of the time its targets are degraded,
 * and how many requests they fail meanwhile is not known beforehand. {@link #MODELS} covers the
 * plausible range in geometric steps, so that one model is close to the actual one; {@link
 * DegradationFilter} learns which one.
 *
 * @param episodeMillis mean length of an episode, in milliseconds
 * @param degradedShare share of time that a target is degraded, from 0 to 1
 * @param degradedFailureRate share of requests that a degraded target fails, from 0 to 1
 */
record EpisodeModel(double episodeMillis, double degradedShare, double degradedFailureRate) {
    /** Share of requests that a healthy target fails; targets that fail more are avoided. */
    static final double HEALTHY_FAILURE_RATE = 0.018;

    private static final double MIN_EPISODE_MILLIS = 700;
    private static final double MAX_EPISODE_MILLIS = 50_000;
    private static final double EPISODE_FACTOR = 4;
    private static final double MAX_DEGRADED_SHARE = 0.36;
    private static final double MIN_DEGRADED_SHARE = 0.02;
    private static final double SHARE_FACTOR = 4;
    private static final double[] DEGRADED_FAILURE_RATES = {0.35, 0.92};

    /** All models of the filter: every combination of episode length, share and failure rate. */
    static final List<EpisodeModel> MODELS = createModels();

    EpisodeModel {
        Checks.inRange("model.episodeMillis", episodeMillis, 1, 3_600_000);
        Checks.inRange("model.degradedShare", degradedShare, 0.0, 1.0);
        Checks.inRange("model.degradedFailureRate", degradedFailureRate, 0.0, 1.0);
    }

    private static List<EpisodeModel> createModels() {
        List<EpisodeModel> models = new ArrayList<>();
        for (double episodeMillis = MIN_EPISODE_MILLIS;
                episodeMillis <= MAX_EPISODE_MILLIS;
                episodeMillis *= EPISODE_FACTOR) {
            for (double share = MAX_DEGRADED_SHARE;
                    share >= MIN_DEGRADED_SHARE;
                    share /= SHARE_FACTOR) {
                for (double failureRate : DEGRADED_FAILURE_RATES) {
                    models.add(new EpisodeModel(episodeMillis, share, failureRate));
                }
            }
        }
        return List.copyOf(models);
    }

    /**
     * Returns the time constant with which a probability decays to the baseline, in milliseconds.
     */
    double decayMillis() {
        // The inverse of the sum of the two states' transition rates.
        return episodeMillis * (1 - degradedShare);
    }

    /** Returns the probability of being degraded after a time without observations. */
    double probabilityAfter(double probability, double elapsedMillis) {
        return degradedShare
                + (probability - degradedShare) * Math.exp(-elapsedMillis / decayMillis());
    }
}
