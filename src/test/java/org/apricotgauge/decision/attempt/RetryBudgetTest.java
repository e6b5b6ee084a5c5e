package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Retries of one service, limited to a share of its traffic. */
class RetryBudgetTest {

    @Test
    void chargedRetriesReduceLaterRetries() {
        // Guards against retries beyond the budget when another service retries: a report that is
        // retried makes two lookups at this service, which count as retries here. They are allowed,
        // and the next retries of this service are refused instead.
        RetryBudget budget = new TokenBucketRetryBudget(0.5, 1, 0);
        budget.charge(0);
        budget.charge(0);

        assertThat(budget.tryRetry(0)).isFalse();
        budget.onRequest(0);
        budget.onRequest(0);
        assertThat(budget.tryRetry(0)).isFalse();
        budget.onRequest(0);
        budget.onRequest(0);
        assertThat(budget.tryRetry(0)).isTrue();
        assertThat(budget.tryRetry(0)).isFalse();
    }
}
