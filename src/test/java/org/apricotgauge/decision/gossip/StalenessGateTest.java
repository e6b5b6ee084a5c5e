package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests a process whose clocks stop, continue, or jump. */
class StalenessGateTest {
    private static final long PAUSE_MILLIS = 1_500;
    private static final long CONFIRMATION_MILLIS = 1_000;
    private static final long WALL_START_MILLIS = 1_790_000_000_000L;

    private final StalenessGate mGate =
            new StalenessGate(PAUSE_MILLIS, CONFIRMATION_MILLIS, 0, WALL_START_MILLIS);

    @Test
    void detectsVmSuspensionByWallClock() {
        assertThat(mGate.mayAct(10, WALL_START_MILLIS + 5_000)).isFalse();
        assertThat(mGate.onTick(10, WALL_START_MILLIS + 5_000)).isTrue();
        mGate.onConfirmed();

        assertThat(mGate.mayAct(20, WALL_START_MILLIS + 5_010)).isTrue();
    }

    @Test
    void backwardWallClockJumpDoesNotExtendWait() {
        // Failure: a node that no peer can confirm rejects all requests. The wall clock jumps
        // forward, which is taken for a pause, and later back; a wait measured on it would last
        // until the wall clock reaches the same time again, instead of one second.
        mGate.onTick(100, WALL_START_MILLIS + 3_600_000);
        assertThat(mGate.mayAct(200, WALL_START_MILLIS + 3_600_100)).isFalse();

        assertThat(mGate.onTick(300, WALL_START_MILLIS + 300)).isFalse();

        assertThat(mGate.mayAct(100 + CONFIRMATION_MILLIS, WALL_START_MILLIS + 1_100)).isFalse();
        assertThat(mGate.mayAct(101 + CONFIRMATION_MILLIS, WALL_START_MILLIS + 1_101)).isTrue();
    }

    @Test
    void detectsStoppedProcessOnBothClocks() {
        assertThat(mGate.onTick(PAUSE_MILLIS, WALL_START_MILLIS + PAUSE_MILLIS)).isFalse();
        assertThat(mGate.onTick(2 * PAUSE_MILLIS + 1, WALL_START_MILLIS + 2 * PAUSE_MILLIS + 1))
                .isTrue();
    }
}
