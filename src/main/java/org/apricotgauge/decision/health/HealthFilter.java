package org.apricotgauge.decision.health;

import java.util.Arrays;

/**
 * The probability that one target is sick, under laws that are learned from the same target.
 *
 * <p>For each {@link SpellLaw} the probability follows Bayes' rule; the laws are weighed by how
 * well they foretold what was seen. A little of the weight is dealt out evenly at each step, so
 * that a target whose spells change, or a real outage after hours of calm, is believed within some
 * ten requests. Not thread-safe.
 */
final class HealthFilter {
    /** Part of the weight dealt out evenly at each step; a law needs 1/this requests to be lost. */
    private static final double EVEN_PART = 0.002;

    private final double[] mWeights = new double[SpellLaw.LAWS.size()];
    private final double[] mSick = new double[SpellLaw.LAWS.size()];
    private long mAtMillis;
    private boolean mSeen;

    HealthFilter() {
        Arrays.fill(mWeights, 1.0 / mWeights.length);
        for (int i = 0; i < mSick.length; i++) {
            mSick[i] = SpellLaw.LAWS.get(i).sickShare();
        }
    }

    /** Tells how likely something is at a target that fails this share of its requests. */
    @FunctionalInterface
    interface Likelihood {
        /** Returns a number in proportion to the probability of what was seen. */
        double of(double failShare);
    }

    /** Takes in something that was seen of the target. */
    void saw(Likelihood likelihood, long nowMillis) {
        forgetUntil(nowMillis);
        double ifHealthy = likelihood.of(SpellLaw.FAILS_HEALTHY);
        double sum = 0;
        for (int i = 0; i < mSick.length; i++) {
            double sick = mSick[i] * likelihood.of(SpellLaw.LAWS.get(i).failsSick());
            double all = sick + (1 - mSick[i]) * ifHealthy;
            mSick[i] = sick / all;
            mWeights[i] *= all;
            sum += mWeights[i];
        }
        for (int i = 0; i < mWeights.length; i++) {
            mWeights[i] = (1 - EVEN_PART) * mWeights[i] / sum + EVEN_PART / mWeights.length;
        }
    }

    private void forgetUntil(long nowMillis) {
        double passedMillis = mSeen ? Math.max(0, nowMillis - mAtMillis) : 0;
        for (int i = 0; i < mSick.length; i++) {
            mSick[i] = SpellLaw.LAWS.get(i).sickAfter(mSick[i], passedMillis);
        }
        mAtMillis = mSeen ? Math.max(mAtMillis, nowMillis) : nowMillis;
        mSeen = true;
    }

    /** Returns the probability that the target is sick at a moment. */
    double sickAt(long nowMillis) {
        double passedMillis = mSeen ? Math.max(0, nowMillis - mAtMillis) : 0;
        double sick = 0;
        for (int i = 0; i < mSick.length; i++) {
            sick += mWeights[i] * SpellLaw.LAWS.get(i).sickAfter(mSick[i], passedMillis);
        }
        return Math.max(0, Math.min(1, sick));
    }

    /** Returns what others may be told: the mean over the laws, each by its weight. */
    HealthOutlook outlook(long nowMillis) {
        double usual = 0;
        double rate = 0;
        for (int i = 0; i < mSick.length; i++) {
            usual += mWeights[i] * SpellLaw.LAWS.get(i).sickShare();
            rate += mWeights[i] / SpellLaw.LAWS.get(i).forgetMillis();
        }
        return new HealthOutlook(sickAt(nowMillis), Math.min(1, usual), 1 / rate, nowMillis);
    }
}
