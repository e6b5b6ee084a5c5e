package org.apricotgauge.decision.effect;

import java.util.List;
import java.util.Locale;

/**
 * Decides whether a change improved outcomes, from the counts of several nodes.
 *
 * <pre>{@code
 * Effect effect = EffectPolicy.evaluate(List.of(new NodeOutcomes(before, after), ...));
 * }</pre>
 *
 * <p>Requests of one node are correlated: one degraded target causes a run of bad outcomes. A test
 * that treated requests as independent would detect an effect in every burst. The nodes are
 * therefore the sampling units: the variance of the difference of the two shares is estimated over
 * nodes, by linearising the ratio (Cochran, "Sampling Techniques", chapter 6), and is never taken
 * below the binomial one. The threshold is Student's t for a two-sided error of 1 in 100. The
 * policy can't distinguish a change from another event at the same time. Stateless and without side
 * effects.
 */
public final class EffectPolicy {
    private static final int MIN_NODES = 3;
    private static final long MIN_REQUESTS = 100;
    // Student's t at 0.995 for 2 to 30 degrees of freedom; the last value is used above 30 too.
    private static final double[] STUDENT_T = {
        9.925, 5.841, 4.604, 4.032, 3.707, 3.499, 3.355, 3.250, 3.169, 3.106, 3.055, 3.012, 2.977,
        2.947, 2.921, 2.898, 2.878, 2.861, 2.845, 2.831, 2.819, 2.807, 2.797, 2.787, 2.779, 2.771,
        2.763, 2.756, 2.750
    };
    private static final double STUDENT_T_ABOVE_30 = 2.750;

    private EffectPolicy() {}

    /** Evaluates a change by the nodes that had requests both before and after it. */
    public static Effect evaluate(List<NodeOutcomes> nodes) {
        List<NodeOutcomes> both =
                nodes.stream()
                        .filter(node -> node.before().requests() > 0)
                        .filter(node -> node.after().requests() > 0)
                        .toList();
        OutcomeShare zero = new OutcomeShare(0, 0);
        OutcomeShare before =
                both.stream().map(NodeOutcomes::before).reduce(zero, OutcomeShare::plus);
        OutcomeShare after =
                both.stream().map(NodeOutcomes::after).reduce(zero, OutcomeShare::plus);
        if (both.size() < MIN_NODES) {
            String reason =
                    both.size() + " nodes saw requests before and after; needs " + MIN_NODES;
            return new Effect(Effect.Verdict.UNDECIDED, before, after, reason);
        }
        if (before.requests() < MIN_REQUESTS || after.requests() < MIN_REQUESTS) {
            String reason = "needs " + MIN_REQUESTS + " requests before and after";
            return new Effect(Effect.Verdict.UNDECIDED, before, after, reason);
        }
        return compare(both, before, after);
    }

    private static Effect compare(
            List<NodeOutcomes> nodes, OutcomeShare before, OutcomeShare after) {
        double difference = after.share() - before.share();
        double variance =
                Math.max(varianceOverNodes(nodes, before, after), binomialVariance(before, after));
        double deviations = variance > 0 ? difference / Math.sqrt(variance) : 0;
        double threshold = threshold(nodes.size());
        String reason =
                String.format(
                        Locale.ROOT,
                        "bad share %.4f%% before, %.4f%% after, %.2f standard errors apart over %d"
                                + " nodes; needs %.2f",
                        100 * before.share(),
                        100 * after.share(),
                        Math.abs(deviations),
                        nodes.size(),
                        threshold);
        if (Math.abs(deviations) < threshold) {
            return new Effect(Effect.Verdict.UNDECIDED, before, after, reason);
        }
        Effect.Verdict verdict = difference < 0 ? Effect.Verdict.HELPED : Effect.Verdict.HARMED;
        return new Effect(verdict, before, after, reason);
    }

    private static double varianceOverNodes(
            List<NodeOutcomes> nodes, OutcomeShare before, OutcomeShare after) {
        double sum = 0;
        for (NodeOutcomes node : nodes) {
            double residual = residual(node.after(), after) - residual(node.before(), before);
            sum += residual * residual;
        }
        return sum * nodes.size() / (nodes.size() - 1);
    }

    private static double residual(OutcomeShare node, OutcomeShare all) {
        return (node.bad() - all.share() * node.requests()) / all.requests();
    }

    private static double binomialVariance(OutcomeShare before, OutcomeShare after) {
        double pooled = before.plus(after).share();
        return pooled * (1 - pooled) * (1.0 / before.requests() + 1.0 / after.requests());
    }

    private static double threshold(int nodes) {
        int index = nodes - MIN_NODES;
        return index < STUDENT_T.length ? STUDENT_T[index] : STUDENT_T_ABOVE_30;
    }
}
