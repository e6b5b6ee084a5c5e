package org.apricotgauge.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class PaceTest {
    private static final long WINDOW_MILLIS = 4_000;

    private final Pace mPace = new Pace();

    @Test
    void withoutALimitAllStart() {
        for (int i = 0; i < 100; i++) {
            assertThat(mPace.tryStart(0)).isTrue();
        }
        assertThat(mPace.waitMillis(5, 0)).isZero();
    }

    @Test
    void theFirstStartWaitsForItsTurn() {
        mPace.limit(2, 0);

        assertThat(mPace.waitMillis(1, 100)).isCloseTo(400, within(0.001));
        assertThat(mPace.waitMillis(3, 100)).isCloseTo(1_400, within(0.001));
        assertThat(mPace.tryStart(499)).isFalse();
        assertThat(mPace.tryStart(500)).isTrue();
        assertThat(mPace.tryStart(500)).isFalse();
    }

    @Test
    void aStartThatReachedNobodyIsGivenBack() {
        mPace.limit(1, 0);
        assertThat(mPace.tryStart(1_000)).isTrue();

        mPace.giveBack();

        assertThat(mPace.tryStart(1_000)).isTrue();
    }

    @Test
    void aLiftedLimitHoldsNothingBack() {
        mPace.limit(1, 0);
        mPace.lift();

        assertThat(mPace.tryStart(1)).isTrue();
    }

    @Test
    void aReadingFromBeforeTheLastOneTakesNothingAway() {
        mPace.limit(1, 0);
        assertThat(mPace.mayStart(1_000)).isTrue();

        assertThat(mPace.mayStart(900)).isTrue();
    }

    @Test
    void aRateOfNothingIsRefused() {
        assertThatThrownBy(() -> mPace.limit(0, 0)).hasMessageContaining("perSecond");
    }

    /** Guards against bursts after idle times, pauses and changes of the limit. */
    @Property(seed = "36", tries = 200)
    void noWindowHoldsMoreThanOneAndAHalfTimesTheLimit(
            @ForAll long seed, @ForAll @DoubleRange(min = 0.2, max = 40) double perSecond) {
        SplittableRandom random = new SplittableRandom(seed);
        Pace pace = new Pace();
        long[] startedMillis = new long[20_000];
        int started = 0;
        long nowMillis = 0;
        pace.limit(perSecond, nowMillis);
        for (int step = 0; step < 4_000 && started < startedMillis.length; step++) {
            nowMillis += random.nextInt(10) == 0 ? random.nextInt(3_000) : random.nextInt(20);
            if (random.nextInt(50) == 0) {
                pace.limit(perSecond, nowMillis);
            }
            if (pace.tryStart(nowMillis)) {
                startedMillis[started++] = nowMillis;
            }
        }

        double most = 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5;
        for (int first = 0, last = 0; last < started; last++) {
            while (startedMillis[last] - startedMillis[first] >= WINDOW_MILLIS) {
                first++;
            }
            assertThat(last - first + 1).isLessThanOrEqualTo((int) most);
        }
    }
}
