package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.model.Repeatability;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {
    private static final RetryPolicy POLICY = new RetryPolicy(3, 20);
    private static final Outcome NOT_RUN = new Outcome.NotRun(NotRunReason.QUEUE_FULL, 5);
    private static final Outcome UNKNOWN = new Outcome.Unknown(UnknownReason.GUARD_UNREACHABLE);
    private static final Outcome SHED = new Outcome.Answered(503);

    @Test
    void refusalByRouteOrHeaderTakesPrecedence() {
        assertThat(
                        RetryPolicy.isIdempotent(
                                "GET", Repeatability.BY_METHOD, IdempotentHeader.ABSENT))
                .isTrue();
        assertThat(
                        RetryPolicy.isIdempotent(
                                "POST", Repeatability.BY_METHOD, IdempotentHeader.ABSENT))
                .isFalse();
        assertThat(RetryPolicy.isIdempotent("POST", Repeatability.BY_METHOD, IdempotentHeader.YES))
                .isTrue();
        assertThat(RetryPolicy.isIdempotent("GET", Repeatability.NEVER, IdempotentHeader.YES))
                .isFalse();
        assertThat(RetryPolicy.isIdempotent("POST", Repeatability.ALWAYS, IdempotentHeader.NO))
                .isFalse();
        assertThat(
                        RetryPolicy.isIdempotent(
                                "get", Repeatability.BY_METHOD, IdempotentHeader.ABSENT))
                .isFalse();
    }

    @Test
    void retriesNonIdempotentRequestsOnlyIfProvedNotRun() {
        SubmissionProgress order = SubmissionProgress.of(false, false);
        assertThat(decide(order.after(NOT_RUN))).isInstanceOf(RetryDecision.Retry.class);
        assertThat(decide(order.after(UNKNOWN))).isEqualTo(new RetryDecision.Finish(UNKNOWN));
        assertThat(decide(order.after(SHED))).isEqualTo(new RetryDecision.Finish(SHED));
        SubmissionProgress keyed = SubmissionProgress.of(false, true);
        assertThat(decide(keyed.after(UNKNOWN))).isInstanceOf(RetryDecision.RetryAtSameGuard.class);
    }

    @Test
    void lastNotRunDoesNotHideEarlierAttempt() {
        SubmissionProgress lookup =
                SubmissionProgress.of(true, false).after(SHED).after(NOT_RUN).after(NOT_RUN);
        assertThat(decide(lookup))
                .isEqualTo(
                        new RetryDecision.Finish(
                                new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT)));
    }

    // Guards against retries of a request that crashes one target after another.
    @Test
    void doesNotRetryQuarantinedRequests() {
        Outcome refused = new Outcome.NotRun(NotRunReason.QUARANTINED, 600_000);
        Outcome crashed = new Outcome.Unknown(UnknownReason.QUARANTINED);
        SubmissionProgress lookup = SubmissionProgress.of(true, false);

        assertThat(decide(lookup.after(refused))).isEqualTo(new RetryDecision.Finish(refused));
        assertThat(decide(lookup.after(crashed))).isEqualTo(new RetryDecision.Finish(crashed));
        assertThat(decide(SubmissionProgress.of(false, true).after(crashed)))
                .isEqualTo(new RetryDecision.Finish(crashed));
        assertThat(decide(lookup.after(UNKNOWN).after(refused)))
                .isEqualTo(
                        new RetryDecision.Finish(
                                new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT)));
    }

    @Test
    void stopsAtDeadlineAndWithoutBudget() {
        SubmissionProgress lookup = SubmissionProgress.of(true, false).after(UNKNOWN);
        assertThat(POLICY.decide(lookup, 19, () -> true))
                .isEqualTo(new RetryDecision.Finish(UNKNOWN));
        assertThat(POLICY.decide(lookup, 500, () -> false))
                .isEqualTo(new RetryDecision.Finish(UNKNOWN));
    }

    @Test
    void retriesStayWithinShareOfTraffic() {
        RetryBudget budget = new TokenBucketRetryBudget(0.1, 10, 1);
        int retries = 0;
        for (int i = 0; i < 10_000; i++) {
            budget.onRequest(i);
            retries += budget.tryRetry(i) ? 1 : 0;
        }
        // A tenth of the traffic, the burst, and one per second for ten seconds.
        assertThat(retries).isBetween(1_000, 1_021);
        assertThat(budget.tryRetry(60_000)).isTrue();
    }

    @Test
    void lastRunOfIdempotentRequestTakesNoRisk() {
        // Guards against lookups that fail although healthy targets are available: a lookup may
        // fail at a suspect target and still be served by a second one, but not if that fails too.
        SubmissionProgress fresh = SubmissionProgress.of(true, false);
        SubmissionProgress failedOnce = fresh.after(new Outcome.Answered(500));
        SubmissionProgress booking = SubmissionProgress.of(false, false);

        assertThat(POLICY.targetRestriction(fresh, 2))
                .isEqualTo(HealthGate.TargetRestriction.MAY_TRY);
        assertThat(POLICY.targetRestriction(failedOnce, 2))
                .isEqualTo(HealthGate.TargetRestriction.STEADY);
        assertThat(POLICY.targetRestriction(booking, 2))
                .isEqualTo(HealthGate.TargetRestriction.STEADY);
        assertThat(POLICY.targetRestriction(fresh, 1))
                .isEqualTo(HealthGate.TargetRestriction.STEADY);
    }

    @Test
    void lastAttemptAcceptsAnyTarget() {
        Outcome refused = new Outcome.NotRun(NotRunReason.TARGET_SUSPECT, 0);
        SubmissionProgress refusedTwice =
                SubmissionProgress.of(false, false).after(refused).after(refused);

        assertThat(POLICY.targetRestriction(refusedTwice, 2))
                .isEqualTo(HealthGate.TargetRestriction.NONE);
    }

    private static RetryDecision decide(SubmissionProgress progress) {
        return POLICY.decide(progress, 500, () -> true);
    }
}
