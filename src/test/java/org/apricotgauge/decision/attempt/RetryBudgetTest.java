package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What a service's retries may take of its traffic. */
class RetryBudgetTest {

    @Test
    void chargedRetriesReduceLaterRetries() {
        // A report is sent again to another target, whose two lookups at this service count as
        // retries here, too. They are let through; the service's own next retries are not.
        RetryBudget budget = new RetryBudget(0.5, 1, 0);
        budget.charge();
        budget.charge();

        assertThat(budget.tryRetry(0)).isFalse();
        budget.onRequest();
        budget.onRequest();
        assertThat(budget.tryRetry(0)).isFalse();
        budget.onRequest();
        budget.onRequest();
        assertThat(budget.tryRetry(0)).isTrue();
        assertThat(budget.tryRetry(0)).isFalse();
    }
}
