package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What a service's retries may take of its traffic. */
class RetryBudgetTest {

    @Test
    void whatHappenedInAnyCaseIsPaidForByTheNextRetries() {
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

    @Test
    void tellsWhenTheNextRetryMayCome() {
        // 20 requests a second, each worth a fifth of a retry, and one retry a second beside: a
        // service that turns most of its requests away is out of retries, and a request that can
        // wait is told how long, after those that wait already.
        RetryBudget budget = RetryBudget.savingSince(0, 0.2, 1, 1);
        budget.waitMillis(0, 0);
        for (long now = 0; now < 6_000; now += 50) {
            budget.onRequest();
            budget.tryRetry(now);
        }
        while (budget.tryRetry(6_000)) {
            // Spends what is left.
        }

        assertThat(budget.waitMillis(0, 6_000)).isBetween(1L, 250L);
        assertThat(budget.waitMillis(4, 6_000)).isBetween(700L, 1_250L);
        assertThat(RetryBudget.none().waitMillis(0, 6_000)).isEqualTo(Long.MAX_VALUE);
    }
}
