package org.apricotgauge.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class StartRateLimiterTest {
    private static final long WINDOW_MILLIS = 4_000;

    private final StartRateLimiter mLimiter = new StartRateLimiter();

    @Test
    void withoutLimitEveryRequestStarts() {
        for (int i = 0; i < 100; i++) {
            assertThat(mLimiter.tryStart(0)).isTrue();
        }
        assertThat(mLimiter.waitMillis(5, 0)).isZero();
    }

    @Test
    void firstStartWaitsForItsToken() {
        mLimiter.setLimit(2, 0);

        assertThat(mLimiter.waitMillis(1, 100)).isCloseTo(400, within(0.001));
        assertThat(mLimiter.waitMillis(3, 100)).isCloseTo(1_400, within(0.001));
        assertThat(mLimiter.tryStart(499)).isFalse();
        assertThat(mLimiter.tryStart(500)).isTrue();
        assertThat(mLimiter.tryStart(500)).isFalse();
    }

    @Test
    void unsentRequestReturnsItsToken() {
        mLimiter.setLimit(1, 0);
        assertThat(mLimiter.tryStart(1_000)).isTrue();

        mLimiter.returnToken();

        assertThat(mLimiter.tryStart(1_000)).isTrue();
    }

    @Test
    void removedLimitDelaysNoRequest() {
        mLimiter.setLimit(1, 0);
        mLimiter.removeLimit();

        assertThat(mLimiter.tryStart(1)).isTrue();
    }

    @Test
    void earlierClockReadingRemovesNoTokens() {
        mLimiter.setLimit(1, 0);
        assertThat(mLimiter.mayStart(1_000)).isTrue();

        assertThat(mLimiter.mayStart(900)).isTrue();
    }

    @Test
    void rejectsRateOfZero() {
        assertThatThrownBy(() -> mLimiter.setLimit(0, 0)).hasMessageContaining("perSecond");
    }

    /** Guards against bursts after idle periods, pauses and changes of the limit. */
    @Property(seed = "36", tries = 200)
    void startsInAnyWindowStayBelowOneAndAHalfTimesTheLimit(
            @ForAll long seed, @ForAll @DoubleRange(min = 0.2, max = 40) double perSecond) {
        SplittableRandom random = new SplittableRandom(seed);
        StartRateLimiter limiter = new StartRateLimiter();
        long[] startedMillis = new long[20_000];
        int started = 0;
        long nowMillis = 0;
        limiter.setLimit(perSecond, nowMillis);
        for (int step = 0; step < 4_000 && started < startedMillis.length; step++) {
            nowMillis += random.nextInt(10) == 0 ? random.nextInt(3_000) : random.nextInt(20);
            if (random.nextInt(50) == 0) {
                limiter.setLimit(perSecond, nowMillis);
            }
            if (limiter.tryStart(nowMillis)) {
                startedMillis[started++] = nowMillis;
            }
        }

        double maxStarts = 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5;
        for (int first = 0, last = 0; last < started; last++) {
            while (startedMillis[last] - startedMillis[first] >= WINDOW_MILLIS) {
                first++;
            }
            assertThat(last - first + 1).isLessThanOrEqualTo((int) maxStarts);
        }
    }
}
