package org.apricotgauge.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/**
 * Counts how often each request ran at one target; the oracle of the demonstration. Thread-safe.
 */
final class RunLog {
    private final ConcurrentMap<String, Integer> mRuns = new ConcurrentHashMap<>();
    private final LongAdder mTotal = new LongAdder();
    private volatile long mLastRunMillis;

    void ran(String requestId, long nowMillis) {
        mRuns.merge(requestId, 1, Integer::sum);
        mTotal.increment();
        mLastRunMillis = nowMillis;
    }

    long total() {
        return mTotal.sum();
    }

    /** Returns when work last ran, in milliseconds since the epoch; 0 if it never did. */
    long lastRunMillis() {
        return mLastRunMillis;
    }

    /** Returns the count of each request that ran, one {@code id count} a line. */
    String asLines() {
        return mRuns.entrySet().stream().map(RunLog::line).collect(Collectors.joining());
    }

    private static String line(Map.Entry<String, Integer> run) {
        return run.getKey() + ' ' + run.getValue() + '\n';
    }
}
