package org.apricotgauge.node;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.time.Ticker;

/**
 * Requests at this VM's targets of which something is remembered while they may be at work.
 *
 * <p>A target sends its calls to the node of its own VM, so that the entry that sees the calls and
 * the guard that sees the request that they are made for are one process. Thread-safe.
 */
final class RecentRequests {
    /** A request ends within its deadline; the longest known is 20 s. */
    private static final long RETENTION_SECONDS = 20;

    /** Far more than a VM's targets have slots for within {@link #RETENTION_SECONDS}. */
    private static final int MAX_REQUESTS = 4_096;

    private final Cache<String, Boolean> mRequests;

    RecentRequests(Ticker ticker) {
        mRequests =
                Caffeine.newBuilder()
                        .maximumSize(MAX_REQUESTS)
                        .expireAfterWrite(RETENTION_SECONDS, TimeUnit.SECONDS)
                        .ticker(ticker::nanos)
                        .executor(Runnable::run)
                        .build();
    }

    void add(String requestId) {
        mRequests.put(requestId, Boolean.TRUE);
    }

    void remove(String requestId) {
        mRequests.invalidate(requestId);
    }

    boolean contains(String requestId) {
        return mRequests.getIfPresent(requestId) != null;
    }
}
