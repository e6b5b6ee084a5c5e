package org.apricotgauge.decision.health;

import org.apricotgauge.model.Checks;

/**
 * The probability that a target is in a sick spell, at a moment; immutable.
 *
 * <pre>{@code
 * HealthBelief belief = HealthBelief.UNKNOWN.afterFailure(nowMillis);
 * double sick = belief.sickAt(nowMillis + 500);
 * }</pre>
 *
 * <p>A target is taken to switch between two states at constant rates (a hidden Markov model), and
 * each request that ends tells of the state by Bayes' rule. Without news the probability returns to
 * the share of time that targets are sick. One failure is enough to act on: it is some thirty times
 * as likely from a sick target, and a sequential test that waits for the second or third would see
 * most of a spell of a few seconds pass.
 *
 * @param sick probability at {@code atMillis}, from 0 to 1
 * @param atMillis when it was worked out, in milliseconds of its owner's clock
 */
public record HealthBelief(double sick, long atMillis) {
    /** Length of a spell in milliseconds; the users say "several seconds". */
    static final double SPELL_MILLIS = 2_700;

    /** Time between two spells in milliseconds: a third of the targets is sick at any time. */
    static final double HEALTHY_MILLIS = 6_300;

    /** Share of its requests that a sick target fails; "most", as the users say. */
    static final double FAILS_SICK = 0.85;

    /** Share that a healthy one fails: one or two in a hundred, and some slack for bad luck. */
    static final double FAILS_HEALTHY = 0.025;

    /** Share of time that a target is sick, which is all that is known without news. */
    public static final double USUALLY_SICK = SPELL_MILLIS / (SPELL_MILLIS + HEALTHY_MILLIS);

    /** Knows nothing of the target. */
    public static final HealthBelief UNKNOWN = new HealthBelief(USUALLY_SICK, 0);

    private static final double FORGET_PER_MILLI = 1 / SPELL_MILLIS + 1 / HEALTHY_MILLIS;

    /** Checks the parts. */
    public HealthBelief {
        Checks.inRange("belief.sick", sick, 0.0, 1.0);
    }

    /** Returns the probability at a later moment without news in between. */
    public double sickAt(long nowMillis) {
        double passedMillis = Math.max(0, nowMillis - atMillis);
        return USUALLY_SICK + (sick - USUALLY_SICK) * Math.exp(-passedMillis * FORGET_PER_MILLI);
    }

    /** Returns the belief once a request has failed by the target's doing. */
    public HealthBelief afterFailure(long nowMillis) {
        return after(FAILS_SICK, FAILS_HEALTHY, nowMillis);
    }

    /** Returns the belief once the target has answered a request as it should. */
    public HealthBelief afterSuccess(long nowMillis) {
        return after(1 - FAILS_SICK, 1 - FAILS_HEALTHY, nowMillis);
    }

    private HealthBelief after(double likelyIfSick, double likelyIfHealthy, long nowMillis) {
        double before = sickAt(nowMillis);
        double sickWeight = before * likelyIfSick;
        double healthyWeight = (1 - before) * likelyIfHealthy;
        return new HealthBelief(
                sickWeight / (sickWeight + healthyWeight), Math.max(atMillis, nowMillis));
    }
}
