package org.apricotgauge.stop;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StopReserveTest {
    private static final long DURATION_MILLIS = 5_700;
    private static final long GRACE_MILLIS = 6_000;

    // Guards against a calm process that ends its work earlier than it must.
    @Test
    void aCalmProcessKeepsNothing() {
        assertThat(StopReserve.millis(0, 0, DURATION_MILLIS)).isZero();
        assertThat(StopReserve.millis(20, 20, DURATION_MILLIS)).isZero();
    }

    // Guards against a busy process that is killed while it closes its ports.
    @Test
    void aBusyProcessKeepsMoreTheLaterItsThreadsRun() {
        long slightly = StopReserve.millis(50, 50, DURATION_MILLIS);
        long clearly = StopReserve.millis(50, 90, DURATION_MILLIS);

        assertThat(slightly).isPositive();
        assertThat(clearly).isGreaterThan(slightly);
    }

    // Guards against a lag at the signal, which is over, that the later calm makes forgotten: the
    // stop began late, and its kill did not.
    @Test
    void aStopThatBeganLateEndsEarlier() {
        assertThat(StopReserve.millis(150, 0, DURATION_MILLIS)).isPositive();
    }

    // Guards against runs that are cut before the last sixth of the grace time.
    @Test
    void noMoreIsKeptThanALastSixth() {
        long reserve = StopReserve.millis(100_000, 100_000, DURATION_MILLIS);

        assertThat(DURATION_MILLIS - reserve).isGreaterThan(GRACE_MILLIS * 5 / 6 + 100);
    }
}
