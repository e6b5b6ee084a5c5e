package org.apricotgauge.caller;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.model.Service;

/** The retry budget of each service; a service whose bounds change starts a new one. */
final class RetryBudgets {
    private static final double ALL_PERCENT = 100.0;

    private final RetryPool mPool;
    private final ConcurrentMap<String, Entry> mBudgets = new ConcurrentHashMap<>();

    private record Entry(int percent, int burst, RetryBudget budget) {}

    RetryBudgets(RetryPool pool) {
        mPool = pool;
    }

    RetryBudget of(Service service) {
        int percent = service.retryBudgetPercent();
        int burst = mPool.burst().getAsInt();
        Entry entry = mBudgets.get(service.id());
        if (entry == null || entry.percent() != percent || entry.burst() != burst) {
            RetryBudget fresh =
                    new RetryBudget(
                            percent / ALL_PERCENT, burst, mPool.minPerSecond(), mPool.startsFull());
            entry = new Entry(percent, burst, fresh);
            mBudgets.put(service.id(), entry);
        }
        return entry.budget();
    }
}
