package org.apricotgauge.caller;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.model.Service;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.util.thread.Scheduler;

/** The retries of all services at one entry, if they go by rank. Thread-safe. */
final class ShedRetries {
    private static final double ALL_PERCENT = 100.0;

    private final boolean mEnabled;
    private final Scheduler mScheduler;
    private final Ticker mTicker;
    private final RetryMetrics mMetrics;
    private final ConcurrentMap<String, ServiceRetries> mServices = new ConcurrentHashMap<>();

    ShedRetries(boolean enabled, Scheduler scheduler, Ticker ticker, MetricRegistry registry) {
        mEnabled = enabled;
        mScheduler = scheduler;
        mTicker = ticker;
        mMetrics = new RetryMetrics(registry);
    }

    /** Returns the retries of a service; empty if they don't go by rank. */
    Optional<ServiceRetries> of(Service service) {
        if (!mEnabled) {
            return Optional.empty();
        }
        return Optional.of(
                mServices.computeIfAbsent(
                        service.id(),
                        id ->
                                new ServiceRetries(
                                        mScheduler,
                                        mTicker,
                                        mMetrics,
                                        service.retryBudgetPercent() / ALL_PERCENT)));
    }
}
