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
    private static final int TRIMMED_PART = 3;
    private static final double PRIOR_WEIGHT = 50;
    private static final double PRIOR_FAILURE = 0.01;
    private static final int SHORT_SAMPLES = 8;

    private PoolBaseline() {}

    /** Returns the fellows of a target that its baseline is made of. */
    static List<TargetStream> fellows(TargetStream target, Iterable<TargetStream> all) {
        List<TargetStream> others = new ArrayList<>();
        for (TargetStream stream : all) {
            if (stream != target && stream.isCompared()) {
                others.add(stream);
            }
        }
        others.sort(
                Comparator.comparingDouble(TargetStream::suspicion)
                        .thenComparing(TargetStream::targetId));
        return others.subList(0, others.size() - others.size() / TRIMMED_PART);
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
    static double[] longRun(List<TargetStream> fellows) {
        double[] law = new double[Category.COUNT];
        for (int bin = 0; bin < LatencyScale.BINS; bin++) {
            law[bin] = PRIOR_WEIGHT * (1 - PRIOR_FAILURE) / LatencyScale.BINS;
        }
        law[Category.FAILURE] = PRIOR_WEIGHT * PRIOR_FAILURE;
        for (TargetStream stream : fellows) {
            stream.addHistoryTo(law);
        }
        double total = PRIOR_WEIGHT + samples(fellows);
        for (int category = 0; category < law.length; category++) {
            law[category] /= total;
        }
        return law;
    }

    /**
     * Returns for each category the most of its share over minutes and over the last samples.
     *
     * <p>When the whole service turns bad at once, the first target to cross its threshold does so
     * before the share over minutes has moved; the fellows' last samples show that it is as bad as
     * all.
     */
    static double[] withLastSamples(double[] longRun, List<TargetStream> fellows) {
        double[] most = longRun.clone();
        raise(most, fellows, SHORT_SAMPLES);
        raise(most, fellows, TargetStream.LAST_SAMPLES);
        return most;
    }

    private static void raise(double[] most, List<TargetStream> fellows, int samples) {
        double[] counts = new double[Category.COUNT];
        int total = 0;
        for (TargetStream stream : fellows) {
            total += stream.addLastTo(counts, samples);
        }
        for (int category = 0; category < counts.length && total > 0; category++) {
            most[category] = Math.max(most[category], counts[category] / total);
        }
    }
}
