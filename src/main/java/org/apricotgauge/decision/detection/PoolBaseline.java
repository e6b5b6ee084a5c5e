package org.apricotgauge.decision.detection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The distribution over the categories that a target is compared with, from its reference targets.
 *
 * <p>A service that is slow as a whole must not look like slow targets, so a target is compared
 * with the other targets of its service. The most suspect third of them is left out: in a service
 * of six or nine, one other degraded target would otherwise hide the next. The rest are the
 * target's reference targets.
 */
final class PoolBaseline {
    private static final int TRIM_DIVISOR = 3;

    /**
     * Prior weight of all bins together, in samples: what has not occurred in N samples has a
     * probability of about 1/N (Good 1953).
     */
    private static final double PRIOR_LATENCY_SAMPLES = 4;

    /** Prior weight of failures: half a failure in 50 samples. */
    private static final double PRIOR_FAILURES = 0.5;

    private static final double PRIOR_SAMPLES = 50;
    private static final int[] WINDOW_SAMPLES = {8, 32, 128, TargetStream.RECENT_SAMPLES};

    /**
     * Index in {@link #WINDOW_SAMPLES} of the window that shows a lasting change of the service.
     */
    private static final int CHANGE_WINDOW_INDEX = 1;

    private PoolBaseline() {}

    /** Returns the reference targets of a target, which its baseline is computed from. */
    static List<TargetStream> referenceTargets(TargetStream target, Iterable<TargetStream> all) {
        List<TargetStream> others = new ArrayList<>();
        for (TargetStream stream : all) {
            if (stream != target && stream.isInBaseline()) {
                others.add(stream);
            }
        }
        others.sort(
                Comparator.comparingDouble(TargetStream::maxNats)
                        .thenComparing(TargetStream::targetId));
        return others.subList(0, others.size() - others.size() / TRIM_DIVISOR);
    }

    /** Returns the number of samples of the reference targets. */
    static double samples(Iterable<TargetStream> referenceTargets) {
        double samples = 0;
        for (TargetStream stream : referenceTargets) {
            samples += stream.historySamples();
        }
        return samples;
    }

    /** Returns the probabilities of the categories over the past minutes; none of them is 0. */
    static double[] longRunDistribution(List<TargetStream> referenceTargets) {
        double[] distribution = new double[Category.COUNT];
        for (TargetStream stream : referenceTargets) {
            stream.addHistoryTo(distribution);
        }
        double samples = samples(referenceTargets);
        double failure =
                (distribution[Category.FAILURE] + PRIOR_FAILURES) / (samples + PRIOR_SAMPLES);
        double answered = samples - distribution[Category.FAILURE] + PRIOR_LATENCY_SAMPLES;
        for (int bin = 0; bin < LatencyBins.COUNT; bin++) {
            distribution[bin] += PRIOR_LATENCY_SAMPLES / LatencyBins.COUNT;
            distribution[bin] *= (1 - failure) / answered;
        }
        distribution[Category.FAILURE] = failure;
        return distribution;
    }

    /**
     * Counts the reference targets' recent samples by category, over windows of several lengths.
     */
    static int[][] recentCounts(List<TargetStream> referenceTargets) {
        int[][] counts = new int[WINDOW_SAMPLES.length][Category.COUNT];
        for (int window = 0; window < WINDOW_SAMPLES.length; window++) {
            for (TargetStream reference : referenceTargets) {
                reference.addRecentTo(counts[window], WINDOW_SAMPLES[window]);
            }
        }
        return counts;
    }

    /**
     * Returns the share of a target's evidence that remains when the recent samples of its
     * reference targets are the baseline.
     *
     * <p>When the whole service degrades at once, the first target to cross its threshold does so
     * before the shares over minutes have changed, and would be ejected for being as degraded as
     * all. So the target's share of suspect samples is also compared with the recent share of its
     * reference targets, over a few samples for sudden changes and over hundreds for slight ones.
     * Where that share is above chance, the evidence shrinks with the divergence between the two.
     */
    static double remainingShare(TargetStream target, int test, int[][] recentCounts) {
        int samples = target.samplesSinceRise(test);
        double ownShare = (double) target.suspectSamplesSinceRise(test) / Math.max(1, samples);
        double baselineShare = target.scores().suspectShare(test);
        double recentShare = baselineShare;
        for (int[] counts : recentCounts) {
            recentShare = Math.max(recentShare, recentSuspectShare(target.scores(), test, counts));
        }
        return ownShare <= recentShare
                ? 0
                : divergence(ownShare, recentShare) / divergence(ownShare, baselineShare);
    }

    /**
     * Returns whether the reference targets as a whole have changed for some time, beyond chance.
     */
    static boolean isChanged(TargetStream target, int test, int[][] recentCounts) {
        return recentSuspectShare(target.scores(), test, recentCounts[CHANGE_WINDOW_INDEX]) > 0;
    }

    private static double recentSuspectShare(ScoreTable scores, int test, int[] counts) {
        int suspect = 0;
        int total = 0;
        for (int category = 0; category < Category.COUNT; category++) {
            total += counts[category];
            suspect += scores.isSuspect(test, category) ? counts[category] : 0;
        }
        double expected = total * scores.suspectShare(test);
        boolean isFailure =
                AlternativeHypothesis.ALL.get(test).kind() == AlternativeHypothesis.Kind.FAILURE;
        double chance = isFailure ? 2 * Math.sqrt(expected) + 1 : Math.sqrt(expected) + 0.5;
        if (suspect <= expected + chance) {
            return 0;
        }
        return (suspect + 0.5) / (total + 1);
    }

    /** Returns the Kullback-Leibler divergence of two shares, in nats per sample. */
    private static double divergence(double share, double from) {
        double nats = share * Math.log(share / from);
        return share >= 1 ? nats : nats + (1 - share) * Math.log((1 - share) / (1 - from));
    }
}
