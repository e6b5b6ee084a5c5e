package org.apricotgauge.decision.effect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class EffectPolicyTest {
    private static final int TRIALS = 1_000;
    private static final int NODES = 24;
    private static final int REQUESTS = 1_000;

    /**
     * Bad outcomes come in bursts: at each time a few nodes have many more of them than the rest. A
     * test that treats requests as independent decides that most patches helped or harmed, though
     * they did neither. At an error of 1 in 100 about 10 of 1,000 are expected; the seed is fixed.
     */
    @Test
    void burstsAtSomeNodesAreUndecided() {
        Random random = new Random(1721);
        int decided = 0;
        for (int trial = 0; trial < TRIALS; trial++) {
            if (verdict(random, 0.02, 0.02) != Effect.Verdict.UNDECIDED) {
                decided++;
            }
        }

        assertThat(decided).isLessThanOrEqualTo(TRIALS * 2 / 100);
    }

    @Test
    void detectsAClearChangeInItsDirection() {
        Random random = new Random(1722);

        assertThat(shareOfTrials(random, Effect.Verdict.HELPED, 0.05, 0.001)).isGreaterThan(0.9);
        assertThat(shareOfTrials(random, Effect.Verdict.HARMED, 0.001, 0.05)).isGreaterThan(0.9);
    }

    @Test
    void tooFewNodesOrRequestsAreUndecided() {
        NodeOutcomes bad = new NodeOutcomes(new OutcomeShare(50, 50), new OutcomeShare(0, 50));
        NodeOutcomes onlyBefore =
                new NodeOutcomes(new OutcomeShare(50, 500), new OutcomeShare(0, 0));

        assertThat(EffectPolicy.evaluate(List.of()).verdict()).isEqualTo(Effect.Verdict.UNDECIDED);
        assertThat(EffectPolicy.evaluate(List.of(bad, bad, onlyBefore)).reason())
                .isEqualTo("2 nodes saw requests before and after; needs 3");
        NodeOutcomes few = new NodeOutcomes(new OutcomeShare(33, 33), new OutcomeShare(0, 50));
        assertThat(EffectPolicy.evaluate(List.of(few, few, few)).reason())
                .isEqualTo("needs 100 requests before and after");
        assertThat(EffectPolicy.evaluate(List.of(bad, bad, bad)).verdict())
                .isEqualTo(Effect.Verdict.HELPED);
    }

    private static double shareOfTrials(
            Random random, Effect.Verdict verdict, double before, double after) {
        long count =
                Stream.generate(() -> verdict(random, before, after))
                        .limit(TRIALS)
                        .filter(verdict::equals)
                        .count();
        return (double) count / TRIALS;
    }

    private static Effect.Verdict verdict(Random random, double before, double after) {
        List<NodeOutcomes> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(
                    new NodeOutcomes(
                            outcomesInBursts(random, before), outcomesInBursts(random, after)));
        }
        return EffectPolicy.evaluate(nodes).verdict();
    }

    /** Draws a new share of bad outcomes for a node, exponentially distributed with this mean. */
    private static OutcomeShare outcomesInBursts(Random random, double meanShare) {
        double share = Math.min(1, -Math.log(1 - random.nextDouble()) * meanShare);
        long bad = 0;
        for (int i = 0; i < REQUESTS; i++) {
            bad += random.nextDouble() < share ? 1 : 0;
        }
        return new OutcomeShare(bad, REQUESTS);
    }
}
