package org.apricotgauge.target;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunDeadlineTest {

    @Test
    void runMayUseAllRemainingTimeOfTheEntry() {
        // The answer comes 50 ms before the caller's deadline and after the attempt's latest start.
        // If it were aborted at the latest start, a stopping node would needlessly report
        // "unknown".
        RunDeadline deadline = RunDeadline.of(1_500, 10_000 + 1_400, 10_000);

        assertThat(deadline.remainingMillis(11_450)).isEqualTo(50);
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
