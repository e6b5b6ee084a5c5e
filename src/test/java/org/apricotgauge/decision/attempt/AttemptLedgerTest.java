package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class AttemptLedgerTest {
    private static final long RUN = 0xabcL;
    private static final AttemptLimits LIMITS = new AttemptLimits(2, 3, 1_000, 100);

    private final AttemptLedger mLedger = new AttemptLedger(RUN, LIMITS);
    private final AttemptIds mIds = new AttemptIds("node-1", 7);

    @Test
    void textFormsAreReadBack() {
        Attempt attempt = attempt(-5);
        assertThat(attempt).hasToString("node-1:7:0;abc;-5");
        assertThat(Attempt.parse(attempt.toString())).contains(attempt);
        assertThat(GuardStamp.parse(mLedger.stamp(9).toString())).contains(new GuardStamp(RUN, 9));
        assertThat(Attempt.parse("node-1:7:0;abc")).isEmpty();
        assertThat(Attempt.parse("node 1:7:0;abc;5")).isEmpty();
        assertThat(GuardStamp.parse("xyz:1")).isEmpty();
    }

    @Test
    void aSightingAgesWithTheEntrysClockAndCutsLongDeadlines() {
        GuardSighting sighting = new GuardSighting(new GuardStamp(RUN, 10_000), 500);
        assertThat(sighting.address(mIds.next(), 700, 1_000).latestStartMillis()).isEqualTo(10_500);
        assertThat(sighting.address(mIds.next(), 700, 9_000_000).latestStartMillis())
                .isEqualTo(10_200 + AttemptLimits.DEFAULT.maxLifetimeMillis());
    }

    @Test
    void aFenceStopsTheLateArrivalAndTheOneThatWaits() {
        Attempt late = attempt(500);
        assertThat(mLedger.fence(late, 0).state()).isEqualTo(FenceAnswer.State.NOT_RUN);
        assertThat(mLedger.admit(late, 1)).isEqualTo(Arrival.FENCED);

        Attempt waiting = attempt(500);
        assertThat(mLedger.admit(waiting, 2)).isEqualTo(Arrival.ADMITTED);
        assertThat(mLedger.fence(waiting, 3).state()).isEqualTo(FenceAnswer.State.NOT_RUN);
        assertThat(mLedger.started(waiting)).isFalse();
        assertThat(mLedger.withdraw(waiting, 4)).isTrue();
    }

    @Test
    void aFenceTellsWhatStartedAndWhatEnded() {
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
    void aFenceWithinTheGraceIsAnsweredAndOneAfterItIsNot() {
        Attempt never = attempt(500);
        assertThat(mLedger.fence(never, 600).state()).isEqualTo(FenceAnswer.State.NOT_RUN);
        assertThat(mLedger.fence(attempt(500), 601)).isEqualTo(FenceAnswer.FORGOTTEN);
        assertThat(mLedger.admit(attempt(550), 601)).isEqualTo(Arrival.EXPIRED);
    }

    @Test
    void memoryIsBoundedAndWhatWasDroppedIsNeverCalledNotRun() {
        Attempt first = attempt(400);
        mLedger.admit(first, 0);
        mLedger.started(first);
        mLedger.completed(first, 200, 0);
        for (int i = 0; i < 50; i++) {
            mLedger.fence(attempt(500 + i), 0);
        }
        assertThat(mLedger.size()).isEqualTo(LIMITS.maxEnded());
        assertThat(mLedger.fence(first, 0)).isEqualTo(FenceAnswer.FORGOTTEN);
        assertThat(mLedger.admit(first, 0)).isEqualTo(Arrival.FORGOTTEN);
    }

    @Test
    void whatIsRememberedByItsKeyIsCheckedForRunAndTimeOnly() {
        assertThat(mLedger.check(attempt(500), 500)).isEqualTo(Arrival.ADMITTED);
        assertThat(mLedger.check(attempt(500), 501)).isEqualTo(Arrival.EXPIRED);
        assertThat(mLedger.check(new Attempt(mIds.next(), RUN + 1, 900), 501))
                .isEqualTo(Arrival.OTHER_INCARNATION);
        assertThat(mLedger.size()).isZero();
    }

    @Test
    void moreThanTheBoundUnderWayIsRefused() {
        mLedger.admit(attempt(500), 0);
        mLedger.admit(attempt(500), 0);
        Attempt third = attempt(500);
        assertThat(mLedger.admit(third, 0)).isEqualTo(Arrival.FULL);
        assertThat(mLedger.admit(third, 0)).isEqualTo(Arrival.FENCED);
    }

    private Attempt attempt(long latestStartMillis) {
        return new Attempt(mIds.next(), RUN, latestStartMillis);
    }
}
