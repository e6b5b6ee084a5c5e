package org.apricotgauge.decision.detection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The law of categories of a target's fellows, which the target is compared with.
 *
 * <p>A service that is slow as a whole must not look like slow targets, so a target is compared
 * with the others of its service. The most suspect third of them is left out: in a service of six
 * or nine, one other sick target would else hide the next.
 */
final class PoolBaseline {
    private static final int TRIM_DIVISOR = 3;

    /**
     * Prior weight of the bins together, in samples: what has not been seen in N samples has a mass
     * of some 1/N (Good 1953).
     */
    private static final double PRIOR_LATENCY_SAMPLES = 4;

    /** Prior weight of failures: half a failure in 50 samples. */
    private static final double PRIOR_FAILURES = 0.5;

    private static final double PRIOR_SAMPLES = 50;
    private static final int[] WINDOW_SAMPLES = {8, 32, 128, TargetStream.RECENT_SAMPLES};

    /** The window, by its place among those, that tells a lasting change of the whole service. */
    private static final int CHANGE_WINDOW_INDEX = 1;

    private PoolBaseline() {}

    /** Returns the fellows of a target that its baseline is made of. */
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

    /** Returns how many samples the fellows hold. */
    static double samples(Iterable<TargetStream> fellows) {
        double samples = 0;
        for (TargetStream stream : fellows) {
            samples += stream.historySamples();
        }
        return samples;
    }

    /** Returns the probabilities of the categories over some minutes; none of them is 0. */
    static double[] longRunDistribution(List<TargetStream> fellows) {
        double[] law = new double[Category.COUNT];
        for (TargetStream stream : fellows) {
            stream.addHistoryTo(law);
        }
        double samples = samples(fellows);
        double failure = (law[Category.FAILURE] + PRIOR_FAILURES) / (samples + PRIOR_SAMPLES);
        double answered = samples - law[Category.FAILURE] + PRIOR_LATENCY_SAMPLES;
        for (int bin = 0; bin < LatencyBins.COUNT; bin++) {
            law[bin] += PRIOR_LATENCY_SAMPLES / LatencyBins.COUNT;
            law[bin] *= (1 - failure) / answered;
        }
        law[Category.FAILURE] = failure;
        return law;
    }

    /** The fellows' last samples, counted by category over windows of several lengths. */
    static int[][] recentCounts(List<TargetStream> fellows) {
        int[][] counts = new int[WINDOW_SAMPLES.length][Category.COUNT];
        for (int window = 0; window < WINDOW_SAMPLES.length; window++) {
            for (TargetStream fellow : fellows) {
                fellow.addRecentTo(counts[window], WINDOW_SAMPLES[window]);
            }
        }
        return counts;
    }

    /**
     * Returns which share of a target's evidence is left when its fellows' last samples are the
     * baseline.
     *
     * <p>When the whole service turns bad at once, the first target to cross its threshold does so
     * before the shares over minutes have moved, and would be ejected for being as bad as all. So
     * the target's share of suspect samples is compared with the fellows' share too, over a few
     * samples for the sudden and over hundreds for the faint; where that is more than chance, the
     * evidence shrinks as the divergence between the two does.
     */
    static double remainingShare(TargetStream target, int test, int[][] lastCounts) {
        int samples = target.samplesSinceRise(test);
        double own = (double) target.suspectSamplesSinceRise(test) / Math.max(1, samples);
        double usual = target.scores().suspectShare(test);
        double now = usual;
        for (int[] counts : lastCounts) {
            now = Math.max(now, recentSuspectShare(target.scores(), test, counts));
        }
        return own <= now ? 0 : divergence(own, now) / divergence(own, usual);
    }

    /** Returns whether the fellows as a whole have changed, more than chance, for some time. */
    static boolean isChanged(TargetStream target, int test, int[][] lastCounts) {
        return recentSuspectShare(target.scores(), test, lastCounts[CHANGE_WINDOW_INDEX]) > 0;
    }

    private static double recentSuspectShare(ScoreTable scores, int test, int[] counts) {
        int suspect = 0;
        int total = 0;
        for (int category = 0; category < Category.COUNT; category++) {
            total += counts[category];
            suspect += scores.isSuspect(test, category) ? counts[category] : 0;
        }
        double usual = total * scores.suspectShare(test);
        boolean isFailure =
                AlternativeHypothesis.ALL.get(test).kind() == AlternativeHypothesis.Kind.FAILURE;
        double chance = isFailure ? 2 * Math.sqrt(usual) + 1 : Math.sqrt(usual) + 0.5;
        if (suspect <= usual + chance) {
            return 0;
        }
        return (suspect + 0.5) / (total + 1);
    }

    /** Returns the Kullback-Leibler divergence of two shares, in nats a sample. */
    private static double divergence(double share, double from) {
        double nats = share * Math.log(share / from);
        return share >= 1 ? nats : nats + (1 - share) * Math.log((1 - share) / (1 - from));
    }
}
