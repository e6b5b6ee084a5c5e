package org.apricotgauge.decision.health;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * One way in which targets may fall sick and recover: a hidden Markov model of two states.
 *
 * <p>Nobody knows beforehand how long the spells of a site are, how much of the time targets spend
 * in them, or how much they fail meanwhile. {@link #MODELS} spreads evenly over what is plausible,
 * by factors, so that one of them is near whatever holds; which one, {@link DegradationFilter}
 * learns.
 *
 * @param episodeMillis mean length of a spell, in milliseconds
 * @param degradedShare share of time that a target is sick, from 0 to 1
 * @param degradedFailureRate share of its requests that a sick target fails, from 0 to 1
 */
record EpisodeModel(double episodeMillis, double degradedShare, double degradedFailureRate) {
    /** Share of requests that a healthy target fails; one that fails more is worth avoiding. */
    static final double HEALTHY_FAILURE_RATE = 0.018;

    private static final double MIN_EPISODE_MILLIS = 700;
    private static final double MAX_EPISODE_MILLIS = 50_000;
    private static final double EPISODE_FACTOR = 4;
    private static final double MAX_DEGRADED_SHARE = 0.36;
    private static final double MIN_DEGRADED_SHARE = 0.02;
    private static final double SHARE_FACTOR = 4;
    private static final double[] DEGRADED_FAILURE_RATES = {0.35, 0.92};

    /** The laws that are weighed against each other: all pairs of the lengths, shares and rates. */
    static final List<EpisodeModel> MODELS = createModels();

    /** Checks the parts. */
    EpisodeModel {
        Checks.inRange("law.spellMillis", episodeMillis, 1, 3_600_000);
        Checks.inRange("law.sickShare", degradedShare, 0.0, 1.0);
        Checks.inRange("law.failsSick", degradedFailureRate, 0.0, 1.0);
    }

    private static List<EpisodeModel> createModels() {
        List<EpisodeModel> laws = new ArrayList<>();
        for (double spell = MIN_EPISODE_MILLIS;
                spell <= MAX_EPISODE_MILLIS;
                spell *= EPISODE_FACTOR) {
            for (double share = MAX_DEGRADED_SHARE;
                    share >= MIN_DEGRADED_SHARE;
                    share /= SHARE_FACTOR) {
                for (double fails : DEGRADED_FAILURE_RATES) {
                    laws.add(new EpisodeModel(spell, share, fails));
                }
            }
        }
        return List.copyOf(laws);
    }

    /** Returns the time in which what was known of a target is forgotten, in milliseconds. */
    double decayMillis() {
        // The sum of the rates at which the two states are left, inverted.
        return episodeMillis * (1 - degradedShare);
    }

    /** Returns the probability that a target is sick, some time after it was known. */
    double probabilityAfter(double sick, double passedMillis) {
        return degradedShare + (sick - degradedShare) * Math.exp(-passedMillis / decayMillis());
    }
}
