package org.apricotgauge.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.retry.RetryQueue;
import org.apricotgauge.decision.retry.RetryRank;

/** Metrics of the requests that wait for a retry. */
final class RetryMetrics {
    private final MetricRegistry mRegistry;
    private final Counter mWaiting;
    private final Counter mUnusedPrepayments;
    private final Timer mWaitTime;

    RetryMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mWaiting = registry.counter("entry.retry.waiting");
        mUnusedPrepayments = registry.counter("entry.retry.unused_prepayments");
        mWaitTime = registry.timer("entry.retry.wait_time");
    }

    void addWaiting(int count) {
        mWaiting.inc(count);
    }

    void countUnusedPrepayment() {
        mUnusedPrepayments.inc();
    }

    void countSent(RetryRank rank, long waitedMillis) {
        mRegistry.counter("entry.retry.sent." + nameOf(rank)).inc();
        mWaitTime.update(waitedMillis, TimeUnit.MILLISECONDS);
    }

    void countRefused(RetryQueue.Reason reason, long waitedMillis) {
        mRegistry.counter("entry.retry.refused." + reason.name().toLowerCase(Locale.ROOT)).inc();
        mWaitTime.update(waitedMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns the name of a rank in metrics and log lines. */
    static String nameOf(RetryRank rank) {
        return (rank.use() + "_" + rank.priority()).toLowerCase(Locale.ROOT);
    }
}
