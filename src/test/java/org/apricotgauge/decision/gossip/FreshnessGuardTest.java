package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A process whose clocks stand still, go on, or jump. */
class FreshnessGuardTest {
    private static final long PAUSE = 1_500;
    private static final long CONFIRM = 1_000;
    private static final long DAY = 1_790_000_000_000L;

    private final FreshnessGuard mGuard = new FreshnessGuard(PAUSE, CONFIRM, 0, DAY);

    @Test
    void aSuspendedMachineShowsInTheTimeOfDayAlone() {
        assertThat(mGuard.mayAct(10, DAY + 5_000)).isFalse();
        assertThat(mGuard.onTick(10, DAY + 5_000)).isTrue();
        mGuard.onConfirmed();

        assertThat(mGuard.mayAct(20, DAY + 5_010)).isTrue();
    }

    @Test
    void aTimeOfDayThatJumpsBackKeepsNobodyWaiting() {
        // Callers of a node that nobody can confirm: the time of day jumps ahead, which passes for
        // a pause, and later back again. Measured on it, the node would refuse everything until it
        // comes to the same time of day once more; by the steady clock, it waits its second.
        mGuard.onTick(100, DAY + 3_600_000);
        assertThat(mGuard.mayAct(200, DAY + 3_600_100)).isFalse();

        assertThat(mGuard.onTick(300, DAY + 300)).isFalse();

        assertThat(mGuard.mayAct(100 + CONFIRM, DAY + 1_100)).isFalse();
        assertThat(mGuard.mayAct(101 + CONFIRM, DAY + 1_101)).isTrue();
    }

    @Test
    void aStoppedProcessShowsOnBothClocks() {
        assertThat(mGuard.onTick(PAUSE, DAY + PAUSE)).isFalse();
        assertThat(mGuard.onTick(2 * PAUSE + 1, DAY + 2 * PAUSE + 1)).isTrue();
    }
}
