package org.apricotgauge.decision.attempt;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.model.Service;

/** The retry budget of each service; a service whose bounds change starts a new one. */
public final class RetryBudgetRegistry {
    private static final double ALL_PERCENT = 100.0;

    private final RetryAllowancePolicy mAllowancePolicy;
    private final long mStartedAtMillis;
    private final ConcurrentMap<String, Entry> mBudgets = new ConcurrentHashMap<>();

    private record Entry(
            int percent, RetryAllowancePolicy.Allowance allowance, RetryBudget budget) {}

    /** Creates budgets that save up since the process started. */
    public RetryBudgetRegistry(RetryAllowancePolicy pool, long startedMillis) {
        mStartedAtMillis = startedMillis;
        mAllowancePolicy = pool;
    }

    /**
     * Returns the budget of a service.
     *
     * @param sharers how many nodes share what the fleet may retry
     */
    public RetryBudget of(Service service, int sharers) {
        int percent = service.retryBudgetPercent();
        RetryAllowancePolicy.Allowance extra = mAllowancePolicy.allowance(sharers);
        Entry entry = mBudgets.get(service.id());
        if (entry == null || entry.percent() != percent || !entry.allowance().equals(extra)) {
            entry =
                    new Entry(
                            percent,
                            extra,
                            extra.newBudget(percent / ALL_PERCENT, mStartedAtMillis));
            mBudgets.put(service.id(), entry);
        }
        return entry.budget();
    }
}
