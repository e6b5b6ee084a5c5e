package org.apricotgauge.decision.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Run timeouts for work of 0.1 to 2 s at targets that may hang for seconds. */
class RunTimeEstimatorTest {
    private static final long USEFUL_MILLIS = 2_000;

    private final RunTimeEstimator mEstimator = new RunTimeEstimator();

    @Test
    void usesUsefulTimeWithoutAnswers() {
        assertThat(mEstimator.runTimeoutMillis("browse", USEFUL_MILLIS)).isEqualTo(1_500);
    }

    // Guards against a timeout learned from long work that lets short work wait for seconds.
    @Test
    void eachKindOfWorkHasItsOwnTimeout() {
        Random random = new Random(1);
        for (int i = 0; i < 40; i++) {
            mEstimator.answered("roster", 250 * spread(random));
            mEstimator.answered("progress", 1_500 * spread(random));
        }

        assertThat(mEstimator.runTimeoutMillis("roster", USEFUL_MILLIS)).isBetween(400L, 800L);
        assertThat(mEstimator.runTimeoutMillis("progress", USEFUL_MILLIS))
                .isBetween(2_400L, 4_800L);
    }

    // Guards against timeouts that abort much of the work of healthy targets.
    @Test
    void fewSuccessfulRunsTimeOut() {
        Random random = new Random(2);
        int timedOut = 0;
        int runs = 4_000;
        for (int i = 0; i < runs; i++) {
            double millis = 800 * spread(random);
            timedOut += millis > mEstimator.runTimeoutMillis("browse", USEFUL_MILLIS) ? 1 : 0;
            mEstimator.answered("browse", millis);
        }

        assertThat(timedOut).isLessThan(runs / 15);
    }

    private static double spread(Random random) {
        return Math.exp(0.47 * random.nextGaussian() - 0.11);
    }
}
