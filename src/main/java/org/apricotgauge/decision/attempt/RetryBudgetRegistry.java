package org.apricotgauge.decision.attempt;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.model.Service;

/** Retry budgets by service; a budget is replaced when its bounds change. */
public final class RetryBudgetRegistry {
    private static final double ALL_PERCENT = 100.0;

    private final RetryAllowancePolicy mAllowancePolicy;
    private final long mStartedAtMillis;
    private final ConcurrentMap<String, Entry> mBudgets = new ConcurrentHashMap<>();

    private record Entry(
            int percent, RetryAllowancePolicy.Allowance allowance, RetryBudget budget) {}

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
        if (entry == null || entry.percent() != percent || !entry.allowance().equals(allowance)) {
            entry =
                    new Entry(
                            percent,
                            allowance,
                            allowance.newBudget(percent / ALL_PERCENT, mStartedAtMillis));
            mBudgets.put(service.id(), entry);
        }
        return entry.budget();
    }
}
