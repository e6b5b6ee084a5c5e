package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class AttemptLedgerTest {
    private static final long INCARNATION = 0xabcL;
    private static final AttemptLimits LIMITS = new AttemptLimits(2, 3, 1_000, 100);

    private final AttemptLedger mLedger = new AttemptLedger(INCARNATION, LIMITS);
    private final AttemptIdGenerator mIds = new AttemptIdGenerator("node-1", 7);

    @Test
    void parsesItsOwnTextForms() {
        Attempt attempt = attempt(-5);
        assertThat(attempt).hasToString("node-1:7:0;abc;-5");
        assertThat(Attempt.parse(attempt.toString())).contains(attempt);
        assertThat(GuardStamp.parse(mLedger.stamp(9).toString()))
                .contains(new GuardStamp(INCARNATION, 9));
        assertThat(Attempt.parse("node-1:7:0;abc")).isEmpty();
        assertThat(Attempt.parse("node 1:7:0;abc;5")).isEmpty();
        assertThat(GuardStamp.parse("xyz:1")).isEmpty();
    }

    @Test
    void clockEstimateAdvancesAndCutsLongDeadlines() {
        GuardClockEstimate clock = new GuardClockEstimate(new GuardStamp(INCARNATION, 10_000), 500);
        assertThat(clock.newAttempt(mIds.next(), 700, 1_000).latestStartMillis()).isEqualTo(10_500);
        assertThat(clock.newAttempt(mIds.next(), 700, 9_000_000).latestStartMillis())
                .isEqualTo(10_200 + AttemptLimits.DEFAULT.maxLifetimeMillis());
    }

    @Test
    void fenceStopsLateAndQueuedAttempts() {
        Attempt lateAttempt = attempt(500);
        assertThat(mLedger.fence(lateAttempt, 0).state()).isEqualTo(FenceAnswer.State.NOT_RUN);
        assertThat(mLedger.admit(lateAttempt, 1)).isEqualTo(AttemptAdmission.FENCED);

        Attempt queuedAttempt = attempt(500);
        assertThat(mLedger.admit(queuedAttempt, 2)).isEqualTo(AttemptAdmission.ADMITTED);
        assertThat(mLedger.fence(queuedAttempt, 3).state()).isEqualTo(FenceAnswer.State.NOT_RUN);
        assertThat(mLedger.started(queuedAttempt)).isFalse();
        assertThat(mLedger.withdraw(queuedAttempt, 4)).isTrue();
    }

    @Test
    void fenceReportsStartedAndCompletedAttempts() {
        Attempt attempt = attempt(500);
        mLedger.admit(attempt, 0);
        assertThat(mLedger.started(attempt)).isTrue();
        assertThat(mLedger.fence(attempt, 1)).isEqualTo(FenceAnswer.STARTED);
        mLedger.completed(attempt, 201, 2);
        assertThat(mLedger.fence(attempt, 3))
                .isEqualTo(new FenceAnswer(FenceAnswer.State.COMPLETED, 201));
        assertThatThrownBy(() -> mLedger.broken(attempt, 4))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining(attempt.toString());
    }

    @Test
    void fenceIsAnsweredOnlyWithinGracePeriod() {
        Attempt neverArrived = attempt(500);
        assertThat(mLedger.fence(neverArrived, 600).state()).isEqualTo(FenceAnswer.State.NOT_RUN);
        assertThat(mLedger.fence(attempt(500), 601)).isEqualTo(FenceAnswer.FORGOTTEN);
        assertThat(mLedger.admit(attempt(550), 601)).isEqualTo(AttemptAdmission.EXPIRED);
    }

    @Test
    void evictedAttemptIsNeverReportedAsNotRun() {
        Attempt first = attempt(400);
        mLedger.admit(first, 0);
        mLedger.started(first);
        mLedger.completed(first, 200, 0);
        for (int i = 0; i < 50; i++) {
            mLedger.fence(attempt(500 + i), 0);
        }
        assertThat(mLedger.size()).isEqualTo(LIMITS.maxEnded());
        assertThat(mLedger.fence(first, 0)).isEqualTo(FenceAnswer.FORGOTTEN);
        assertThat(mLedger.admit(first, 0)).isEqualTo(AttemptAdmission.FORGOTTEN);
    }

    @Test
    void checkTestsOnlyIncarnationAndTime() {
        assertThat(mLedger.check(attempt(500), 500)).isEqualTo(AttemptAdmission.ADMITTED);
        assertThat(mLedger.check(attempt(500), 501)).isEqualTo(AttemptAdmission.EXPIRED);
        assertThat(mLedger.check(new Attempt(mIds.next(), INCARNATION + 1, 900), 501))
                .isEqualTo(AttemptAdmission.OTHER_INCARNATION);
        assertThat(mLedger.size()).isZero();
    }

    @Test
    void refusesAttemptsBeyondInFlightLimit() {
        mLedger.admit(attempt(500), 0);
        mLedger.admit(attempt(500), 0);
        Attempt third = attempt(500);
        assertThat(mLedger.admit(third, 0)).isEqualTo(AttemptAdmission.FULL);
        assertThat(mLedger.admit(third, 0)).isEqualTo(AttemptAdmission.FENCED);
    }

    private Attempt attempt(long latestStartMillis) {
        return new Attempt(mIds.next(), INCARNATION, latestStartMillis);
    }
}
