package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.model.Repeatability;
import org.junit.jupiter.api.Test;

class RepeatPolicyTest {
    private static final RepeatPolicy POLICY = new RepeatPolicy(3, 20);
    private static final Outcome NOT_RUN = new Outcome.NotRun(NotRunReason.QUEUE_FULL, 5);
    private static final Outcome UNKNOWN = new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE);
    private static final Outcome SHED = new Outcome.Answered(503);

    @Test
    void aNoAlwaysWins() {
        assertThat(RepeatPolicy.isRepeatable("GET", Repeatability.BY_METHOD, RepeatHeader.ABSENT))
                .isTrue();
        assertThat(RepeatPolicy.isRepeatable("POST", Repeatability.BY_METHOD, RepeatHeader.ABSENT))
                .isFalse();
        assertThat(RepeatPolicy.isRepeatable("POST", Repeatability.BY_METHOD, RepeatHeader.YES))
                .isTrue();
        assertThat(RepeatPolicy.isRepeatable("GET", Repeatability.NEVER, RepeatHeader.YES))
                .isFalse();
        assertThat(RepeatPolicy.isRepeatable("POST", Repeatability.ALWAYS, RepeatHeader.NO))
                .isFalse();
        assertThat(RepeatPolicy.isRepeatable("get", Repeatability.BY_METHOD, RepeatHeader.ABSENT))
                .isFalse();
    }

    @Test
    void whatMustNotRepeatGoesOutAgainOnlyWithAProof() {
        Progress order = Progress.of(false, false);
        assertThat(decide(order.after(NOT_RUN))).isInstanceOf(RetryDecision.SendAgain.class);
        assertThat(decide(order.after(UNKNOWN))).isEqualTo(new RetryDecision.Finish(UNKNOWN));
        assertThat(decide(order.after(SHED))).isEqualTo(new RetryDecision.Finish(SHED));
        Progress keyed = Progress.of(false, true);
        assertThat(decide(keyed.after(UNKNOWN))).isInstanceOf(RetryDecision.SendToSameGuard.class);
    }

    @Test
    void theLastNotRunDoesNotHideAnEarlierAttempt() {
        Progress lookup = Progress.of(true, false).after(SHED).after(NOT_RUN).after(NOT_RUN);
        assertThat(decide(lookup))
                .isEqualTo(
                        new RetryDecision.Finish(
                                new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT)));
    }

    // Guards against one copy of a request that crashes target after target.
    @Test
    void whatCrashesTargetsIsNotSentAgain() {
        Outcome refused = new Outcome.NotRun(NotRunReason.QUARANTINED, 600_000);
        Outcome crashed = new Outcome.Unknown(UnknownReason.QUARANTINED);
        Progress lookup = Progress.of(true, false);

        assertThat(decide(lookup.after(refused))).isEqualTo(new RetryDecision.Finish(refused));
        assertThat(decide(lookup.after(crashed))).isEqualTo(new RetryDecision.Finish(crashed));
        assertThat(decide(Progress.of(false, true).after(crashed)))
                .isEqualTo(new RetryDecision.Finish(crashed));
        assertThat(decide(lookup.after(UNKNOWN).after(refused)))
                .isEqualTo(
                        new RetryDecision.Finish(
                                new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT)));
    }

    @Test
    void deadlineAndBudgetEndIt() {
        Progress lookup = Progress.of(true, false).after(UNKNOWN);
        assertThat(POLICY.decide(lookup, 19, () -> true))
                .isEqualTo(new RetryDecision.Finish(UNKNOWN));
        assertThat(POLICY.decide(lookup, 500, () -> false))
                .isEqualTo(new RetryDecision.Finish(UNKNOWN));
    }

    @Test
    void retriesStayWithinTheirShareOfTheTraffic() {
        RetryBudget budget = new RetryBudget(0.1, 10, 1);
        int retries = 0;
        for (int i = 0; i < 10_000; i++) {
            budget.onRequest();
            retries += budget.tryRetry(i) ? 1 : 0;
        }
        // A tenth of the traffic, the burst, and one a second for ten seconds.
        assertThat(retries).isBetween(1_000, 1_021);
        assertThat(budget.tryRetry(60_000)).isTrue();
    }

    @Test
    void theLastRunOfALookupGoesWhereABookingWouldGo() {
        // A lookup may fail at a suspect target and be served by another. If that one fails it too,
        // its caller gets a failure though steady targets were there.
        Progress fresh = Progress.of(true, false);
        Progress failedOnce = fresh.after(new Outcome.Answered(500));
        Progress booking = Progress.of(false, false);

        assertThat(POLICY.caution(fresh, 2)).isEqualTo(HealthGate.Caution.MAY_TRY);
        assertThat(POLICY.caution(failedOnce, 2)).isEqualTo(HealthGate.Caution.STEADY);
        assertThat(POLICY.caution(booking, 2)).isEqualTo(HealthGate.Caution.STEADY);
        assertThat(POLICY.caution(fresh, 1)).isEqualTo(HealthGate.Caution.STEADY);
    }

    @Test
    void anAttemptBeyondWhichThereIsNoneTakesAnyTarget() {
        Outcome bounced = new Outcome.NotRun(NotRunReason.TARGET_SUSPECT, 0);
        Progress bouncedTwice = Progress.of(false, false).after(bounced).after(bounced);

        assertThat(POLICY.caution(bouncedTwice, 2)).isEqualTo(HealthGate.Caution.NONE);
    }

    private static RetryDecision decide(Progress progress) {
        return POLICY.decide(progress, 500, () -> true);
    }
}
