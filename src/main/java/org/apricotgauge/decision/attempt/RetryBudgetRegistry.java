package org.apricotgauge.decision.attempt;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.model.Service;

/**
 * Retry budgets by service. When its bounds change, a token bucket is replaced, and a budget over a
 * window is adjusted.
 */
public final class RetryBudgetRegistry {
    private static final double ALL_PERCENT = 100.0;

    private final RetryAllowancePolicy mAllowancePolicy;
    private final long mStartedAtMillis;
    private final ConcurrentMap<String, Entry> mBudgets = new ConcurrentHashMap<>();

    private record Entry(
            int percent, RetryAllowancePolicy.Allowance allowance, RetryBudget budget) {
        boolean hasBounds(int otherPercent, RetryAllowancePolicy.Allowance otherAllowance) {
            return percent == otherPercent && allowance.equals(otherAllowance);
        }
    }

    /** Creates an empty registry; new budgets are refilled from the start of the process. */
    public RetryBudgetRegistry(RetryAllowancePolicy allowancePolicy, long startedAtMillis) {
        mStartedAtMillis = startedAtMillis;
        mAllowancePolicy = allowancePolicy;
    }

    /**
     * Returns the budget of a service.
     *
     * @param nodeCount number of nodes that share the fleet's allowance
     */
    public RetryBudget of(Service service, int nodeCount) {
        int percent = service.retryBudgetPercent();
        RetryAllowancePolicy.Allowance allowance = mAllowancePolicy.allowance(nodeCount);
        Entry entry = mBudgets.get(service.id());
        if (entry != null && entry.hasBounds(percent, allowance)) {
            return entry.budget();
        }
        return mBudgets.compute(
                        service.id(),
                        (id, before) ->
                                before != null && before.hasBounds(percent, allowance)
                                        ? before
                                        : newEntry(before, percent, allowance))
                .budget();
    }

    private Entry newEntry(Entry before, int percent, RetryAllowancePolicy.Allowance allowance) {
        double share = percent / ALL_PERCENT;
        if (before != null && before.budget() instanceof WindowRetryBudget budget) {
            budget.setBounds(share, allowance.burst());
            return new Entry(percent, allowance, budget);
        }
        return new Entry(percent, allowance, allowance.newBudget(share, mStartedAtMillis));
    }
}
