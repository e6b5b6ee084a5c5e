package org.apricotgauge.target;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Counters of the last hop. */
final class GuardMetrics {
    private final MetricRegistry mRegistry;
    private final Counter mRequests;
    private final Counter mAnswered;
    private final Counter mNotRun;
    private final Counter mUnknown;
    private final Counter mFences;
    private final Counter mBadRequests;
    private final Timer mService;

    GuardMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mRequests = registry.counter("guard.requests");
        mAnswered = registry.counter("guard.answered");
        mNotRun = registry.counter("guard.not_run");
        mUnknown = registry.counter("guard.unknown");
        mFences = registry.counter("guard.fences");
        mBadRequests = registry.counter("guard.bad_requests");
        mService = registry.timer("guard.service_time");
    }

    MetricRegistry registry() {
        return mRegistry;
    }

    Counter requests() {
        return mRequests;
    }

    Counter answered() {
        return mAnswered;
    }

    Counter notRun() {
        return mNotRun;
    }

    Counter unknown() {
        return mUnknown;
    }

    Counter fences() {
        return mFences;
    }

    Counter badRequests() {
        return mBadRequests;
    }

    Timer service() {
        return mService;
    }
}
