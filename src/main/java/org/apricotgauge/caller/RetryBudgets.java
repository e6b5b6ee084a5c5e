package org.apricotgauge.caller;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.model.Service;

/** The retry budget of each service; a service whose share is changed starts a new one. */
final class RetryBudgets {
    private static final int BURST = 10;
    private static final int PER_SECOND = 1;
    private static final double ALL_PERCENT = 100.0;

    private final ConcurrentMap<String, Entry> mBudgets = new ConcurrentHashMap<>();

    private record Entry(int percent, RetryBudget budget) {}

    RetryBudget of(Service service) {
        int percent = service.retryBudgetPercent();
        Entry entry = mBudgets.get(service.id());
        if (entry == null || entry.percent() != percent) {
            RetryBudget fresh = new RetryBudget(percent / ALL_PERCENT, BURST, PER_SECOND);
            entry = new Entry(percent, fresh);
            mBudgets.put(service.id(), entry);
        }
        return entry.budget();
    }
}
