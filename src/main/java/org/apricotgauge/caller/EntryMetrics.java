package org.apricotgauge.caller;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Counters of the entry. */
final class EntryMetrics {
    private final Counter mRequests;
    private final Counter mAnswered;
    private final Counter mNotRun;
    private final Counter mUnknown;
    private final Counter mRetries;
    private final Counter mFences;
    private final Counter mPathFaults;
    private final Counter mMismatched;
    private final Counter mBadRequests;
    private final Counter mBrokenAnswers;
    private final Counter mPredecessorRequests;
    private final Counter mPredecessorFallbacks;
    private final Timer mTotal;

    EntryMetrics(MetricRegistry registry) {
        mRequests = registry.counter("entry.requests");
        mAnswered = registry.counter("entry.answered");
        mNotRun = registry.counter("entry.not_run");
        mUnknown = registry.counter("entry.unknown");
        mRetries = registry.counter("entry.retries");
        mFences = registry.counter("entry.fences");
        mPathFaults = registry.counter("entry.path_faults");
        mMismatched = registry.counter("entry.mismatched_answers");
        mBadRequests = registry.counter("entry.bad_requests");
        mBrokenAnswers = registry.counter("entry.broken_answers");
        mPredecessorRequests = registry.counter("entry.predecessor_requests");
        mPredecessorFallbacks = registry.counter("entry.predecessor_fallbacks");
        mTotal = registry.timer("entry.total_time");
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

    Counter retries() {
        return mRetries;
    }

    Counter fences() {
        return mFences;
    }

    Counter pathFaults() {
        return mPathFaults;
    }

    Counter mismatched() {
        return mMismatched;
    }

    Counter badRequests() {
        return mBadRequests;
    }

    Counter brokenAnswers() {
        return mBrokenAnswers;
    }

    /** Requests that were for the older system, whatever became of them. */
    Counter predecessorRequests() {
        return mPredecessorRequests;
    }

    /** Those of them that the fleet served, since the older system took no connection. */
    Counter predecessorFallbacks() {
        return mPredecessorFallbacks;
    }

    Timer total() {
        return mTotal;
    }
}
