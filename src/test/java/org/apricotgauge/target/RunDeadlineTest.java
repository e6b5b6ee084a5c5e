package org.apricotgauge.target;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The time that an attempt may use at its target. */
class RunDeadlineTest {

    @Test
    void runMayUseAllRemainingTimeOfTheEntry() {
        // The caller's answer comes 50 ms before its time is up, after the latest start of the
        // attempt. Cut there, the caller of a stopping node would be told "unknown" for nothing.
        RunDeadline time = RunDeadline.of(1_500, 10_000 + 1_400, 10_000);

        assertThat(time.remainingMillis(11_450)).isEqualTo(50);
    }

    @Test
    void missingTimeoutFallsBackToTheLatestStart() {
        assertThat(RunDeadline.of(-1, 11_400, 10_000).remainingMillis(11_000)).isEqualTo(400);
    }

    @Test
    void remainingTimeIsAtLeastOneMillisecond() {
        assertThat(RunDeadline.of(10, 10_010, 10_000).remainingMillis(20_000)).isEqualTo(1);
    }
}
