package org.apricotgauge.decision.attempt;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.model.Service;

/** The retry budget of each service; a service whose bounds change starts a new one. */
public final class RetryBudgets {
    private static final double ALL_PERCENT = 100.0;

    private final RetryPool mPool;
    private final long mStartedMillis;
    private final ConcurrentMap<String, Entry> mBudgets = new ConcurrentHashMap<>();

    private record Entry(int percent, RetryPool.Extra extra, RetryBudget budget) {}

    /** Creates budgets that save up since the process started. */
    public RetryBudgets(RetryPool pool, long startedMillis) {
        mStartedMillis = startedMillis;
        mPool = pool;
    }

    /**
     * Returns the budget of a service.
     *
     * @param sharers how many nodes share what the fleet may retry
     */
    public RetryBudget of(Service service, int sharers) {
        int percent = service.retryBudgetPercent();
        RetryPool.Extra extra = mPool.extra(sharers);
        Entry entry = mBudgets.get(service.id());
        if (entry == null || entry.percent() != percent || !entry.extra().equals(extra)) {
            entry = new Entry(percent, extra, extra.budget(percent / ALL_PERCENT, mStartedMillis));
            mBudgets.put(service.id(), entry);
        }
        return entry.budget();
    }
}
