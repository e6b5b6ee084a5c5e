package org.apricotgauge.node;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.time.Ticker;

/**
 * A set of request ids that are kept while the requests may still run at this VM's targets.
 *
 * <p>A target sends its calls to the node of its own VM, so the entry that handles the calls and
 * the guard that handles the request behind them are one process. Thread-safe.
 */
final class RecentRequests {
    /** A request ends within its deadline; the longest deadline known is 20 s. */
    private static final long RETENTION_SECONDS = 20;

    /** Far more than the slots of a VM's targets can run within {@link #RETENTION_SECONDS}. */
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
