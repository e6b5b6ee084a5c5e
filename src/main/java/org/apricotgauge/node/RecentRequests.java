package org.apricotgauge.node;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.time.Ticker;

/**
 * The requests at this VM's targets for which a call to another service has failed.
 *
 * <p>A target sends its calls to the node of its own VM, so that the entry that sees them fail and
 * the guard that sees their request fail are one process. Thread-safe.
 */
final class LostCalls {
    /** A request ends within its deadline after its call has; the longest known is 20 s. */
    private static final long KEPT_SECONDS = 20;

    /** Far more than a VM's targets have slots for within {@link #KEPT_SECONDS}. */
    private static final int MAX_REQUESTS = 4_096;

    private final Cache<String, Boolean> mRequests;

    LostCalls(Ticker ticker) {
        mRequests =
                Caffeine.newBuilder()
                        .maximumSize(MAX_REQUESTS)
                        .expireAfterWrite(KEPT_SECONDS, TimeUnit.SECONDS)
                        .ticker(ticker::nanos)
                        .executor(Runnable::run)
                        .build();
    }

    /** Notes that a call of the request has failed. */
    void failed(String requestId) {
        mRequests.put(requestId, Boolean.TRUE);
    }

    /** Returns whether a call of the request has failed. */
    boolean contains(String requestId) {
        return mRequests.getIfPresent(requestId) != null;
    }
}
