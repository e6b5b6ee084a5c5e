package org.apricotgauge.decision.health;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * One way in which targets may fall sick and recover: a hidden Markov model of two states.
 *
 * <p>Nobody knows beforehand how long the spells of a site are, how much of the time targets spend
 * in them, or how much they fail meanwhile. {@link #LAWS} spreads evenly over what is plausible, by
 * factors, so that one of them is near whatever holds; which one, {@link HealthFilter} learns.
 *
 * @param spellMillis mean length of a spell, in milliseconds
 * @param sickShare share of time that a target is sick, from 0 to 1
 * @param failsSick share of its requests that a sick target fails, from 0 to 1
 */
record SpellLaw(double spellMillis, double sickShare, double failsSick) {
    /** Share of requests that a healthy target fails; one that fails more is worth avoiding. */
    static final double FAILS_HEALTHY = 0.018;

    private static final double SHORTEST_SPELL_MILLIS = 700;
    private static final double LONGEST_SPELL_MILLIS = 50_000;
    private static final double SPELL_FACTOR = 4;
    private static final double LARGEST_SHARE = 0.36;
    private static final double SMALLEST_SHARE = 0.02;
    private static final double SHARE_FACTOR = 4;
    private static final double[] FAILS_SICK = {0.35, 0.92};

    /** The laws that are weighed against each other: all pairs of the lengths, shares and rates. */
    static final List<SpellLaw> LAWS = laws();

    /** Checks the parts. */
    SpellLaw {
        Checks.inRange("law.spellMillis", spellMillis, 1, 3_600_000);
        Checks.inRange("law.sickShare", sickShare, 0.0, 1.0);
        Checks.inRange("law.failsSick", failsSick, 0.0, 1.0);
    }

    private static List<SpellLaw> laws() {
        List<SpellLaw> laws = new ArrayList<>();
        for (double spell = SHORTEST_SPELL_MILLIS;
                spell <= LONGEST_SPELL_MILLIS;
                spell *= SPELL_FACTOR) {
            for (double share = LARGEST_SHARE; share >= SMALLEST_SHARE; share /= SHARE_FACTOR) {
                for (double fails : FAILS_SICK) {
                    laws.add(new SpellLaw(spell, share, fails));
                }
            }
        }
        return List.copyOf(laws);
    }

    /** Returns the time in which what was known of a target is forgotten, in milliseconds. */
    double forgetMillis() {
        // The sum of the rates at which the two states are left, inverted.
        return spellMillis * (1 - sickShare);
    }

    /** Returns the probability that a target is sick, some time after it was known. */
    double sickAfter(double sick, double passedMillis) {
        return sickShare + (sick - sickShare) * Math.exp(-passedMillis / forgetMillis());
    }
}
