package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class RetryPausePolicyTest {
    private static final long PLENTY_MILLIS = 10_000;
    private static final int MAX_RUNS = 3;
    private static final Outcome CANCELLED_RUN = new Outcome.Unknown(UnknownReason.STARTED);
    private static final Outcome BUSY = new Outcome.NotRun(NotRunReason.BUSY, 600);

    private static SubmissionProgress progress(boolean idempotent, Outcome... outcomes) {
        SubmissionProgress progress = SubmissionProgress.of(idempotent, false);
        for (Outcome outcome : outcomes) {
            progress = progress.after(outcome);
        }
        return progress;
    }

    private static OptionalLong pause(SubmissionProgress progress, int pauses) {
        return RetryPausePolicy.DEFAULT.pauseMillis(progress, pauses, PLENTY_MILLIS, MAX_RUNS);
    }

    @Test
    void pausesLongerEachTimeAfterRunWithoutAnswer() {
        SubmissionProgress refused = progress(true, CANCELLED_RUN, BUSY);

        assertThat(pause(refused, 0)).hasValue(100);
        assertThat(pause(refused, 1)).hasValue(200);
        assertThat(pause(refused, 5)).hasValue(1_000);
        assertThat(pause(refused, 6)).isEmpty();
    }

    // Guards against an error in the caller's time because a target's queue was too long.
    @Test
    void pausesAfterQueueThatWasTooLong() {
        Outcome queueTooLong = new Outcome.NotRun(NotRunReason.DEADLINE_TOO_SHORT, 300);

        assertThat(pause(progress(true, CANCELLED_RUN, queueTooLong), 0)).hasValue(100);
    }

    @Test
    void endsAtOnceWhatNoTargetMayRun() {
        Outcome quarantined = new Outcome.NotRun(NotRunReason.QUARANTINED, 300);

        assertThat(pause(progress(true, CANCELLED_RUN, quarantined), 0)).isEmpty();
    }

    // Guards against a request that is known not to have run and is held back all the same.
    @Test
    void refusesAtOnceWhatHasNotRun() {
        assertThat(pause(progress(true, BUSY, BUSY), 0)).isEmpty();
    }

    // Guards against a second run of a request that must not repeat.
    @Test
    void neverRetriesWhatMayNotRepeat() {
        assertThat(pause(progress(false, CANCELLED_RUN, BUSY), 0)).isEmpty();
    }

    @Test
    void endsWhenRunsOrTimeAreUsedUp() {
        SubmissionProgress runs = progress(true, CANCELLED_RUN, CANCELLED_RUN, CANCELLED_RUN, BUSY);
        SubmissionProgress refused = progress(true, CANCELLED_RUN, BUSY);

        assertThat(pause(runs, 0)).isEmpty();
        assertThat(RetryPausePolicy.DEFAULT.pauseMillis(refused, 0, 200, MAX_RUNS)).isEmpty();
        assertThat(RetryPausePolicy.DEFAULT.pauseMillis(refused, 0, 201, MAX_RUNS)).hasValue(100);
    }

    @Test
    void pauseForgetsAttemptsButNoRun() {
        SubmissionProgress resumed = progress(true, CANCELLED_RUN, BUSY, BUSY).afterPause();

        assertThat(resumed.attempts()).isEqualTo(1);
        assertThat(resumed.possibleRuns()).isEqualTo(1);
        assertThat(resumed.lastOutcome()).isEqualTo(BUSY);
    }
}
