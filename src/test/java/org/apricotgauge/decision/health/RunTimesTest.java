package org.apricotgauge.decision.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** When a run is taken for hung: work of 0.1 to 2 s at targets that hang for seconds. */
class RunTimesTest {
    private static final long USEFUL_MILLIS = 2_000;

    private final RunTimes mTimes = new RunTimes();

    @Test
    void beforeAnythingWasAnsweredTheUsefulTimeIsReliedOn() {
        assertThat(mTimes.patienceMillis("browse", USEFUL_MILLIS)).isEqualTo(1_500);
    }

    // Guards against patience learned from long work that lets short work wait for seconds.
    @Test
    void eachKindOfWorkHasItsOwnPatience() {
        Random random = new Random(1);
        for (int i = 0; i < 40; i++) {
            mTimes.answered("roster", 250 * spread(random));
            mTimes.answered("progress", 1_500 * spread(random));
        }

        assertThat(mTimes.patienceMillis("roster", USEFUL_MILLIS)).isBetween(400L, 800L);
        assertThat(mTimes.patienceMillis("progress", USEFUL_MILLIS)).isBetween(2_400L, 4_800L);
    }

    // Guards against healthy targets that lose much of their work to impatience.
    @Test
    void fewOfTheRunsThatEndWellAreOverdue() {
        Random random = new Random(2);
        int overdue = 0;
        int runs = 4_000;
        for (int i = 0; i < runs; i++) {
            double millis = 800 * spread(random);
            overdue += millis > mTimes.patienceMillis("browse", USEFUL_MILLIS) ? 1 : 0;
            mTimes.answered("browse", millis);
        }

        assertThat(overdue).isLessThan(runs / 15);
    }

    private static double spread(Random random) {
        return Math.exp(0.47 * random.nextGaussian() - 0.11);
    }
}
