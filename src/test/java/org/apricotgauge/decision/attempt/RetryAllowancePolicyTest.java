package org.apricotgauge.decision.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.apricotgauge.model.DetectionOdds;
import org.apricotgauge.model.Service;
import org.junit.jupiter.api.Test;

/** Retries of a whole fleet, limited by nodes that share no counter. */
class RetryAllowancePolicyTest {
    private static final Service SERVICE =
            new Service("s", 0, new DetectionOdds(1, 1), 20, 100, null);
    private static final int GUARDS = 9;
    private static final int PER_WINDOW = 62;
    private static final long WINDOW_MILLIS = 10_000;

    @Test
    void fleetTotalHoldsInEveryWindow() {
        // Load: every request of a service fails, and each node retries whenever it may, after an
        // idle time that filled its bucket. 50 requests per second arrive, all at one node, which
        // is the skew that allows one node the most retries.
        RetryAllowancePolicy policy = RetryAllowancePolicy.ofFleet(PER_WINDOW, 10);
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < GUARDS; i++) {
            budgets.add(new RetryBudgetRegistry(policy, 0).of(SERVICE, GUARDS));
        }
        Deque<Long> retries = new ArrayDeque<>();
        int most = 0;
        for (long now = 60_000; now < 120_000; now += 20) {
            budgets.get(0).onRequest(now);
            for (RetryBudget budget : budgets) {
                while (budget.tryRetry(now)) {
                    retries.add(now);
                }
            }
            while (retries.peek() <= now - WINDOW_MILLIS) {
                retries.remove();
            }
            most = Math.max(most, retries.size());
        }

        assertThat(most).isLessThanOrEqualTo((int) (0.2 * 500) + PER_WINDOW);
        assertThat(most).isGreaterThan(PER_WINDOW);
    }

    @Test
    void newProcessStartsWithoutSavedRetries() {
        // A fleet that is killed and restarted must not use its buckets twice within one window.
        RetryBudget budget =
                new RetryBudgetRegistry(RetryAllowancePolicy.ofFleet(62, 10), 5_000)
                        .of(SERVICE, GUARDS);

        assertThat(budget.tryRetry(5_000)).isFalse();
        assertThat(budget.tryRetry(15_000)).isTrue();
    }
}
