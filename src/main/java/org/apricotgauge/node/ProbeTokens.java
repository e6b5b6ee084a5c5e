package org.apricotgauge.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.IntSupplier;
import org.apricotgauge.time.Ticker;

/**
 * Grants permission to probe an ejected target with one idempotent request.
 *
 * <p>All entries together should probe a target about once a second, so the interval between two
 * probes by one entry grows with the number of nodes. Thread-safe.
 */
final class ProbeTokens {
    /** Interval for each node of the fleet; one probe a second over all nodes. */
    static final long INTERVAL_PER_NODE_MILLIS = 1_000;

    private final Ticker mTicker;
    private final IntSupplier mNodeCount;
    private final ConcurrentMap<String, String> mTokens = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Long> mLastAcquiredMillis = new ConcurrentHashMap<>();

    ProbeTokens(Ticker ticker, IntSupplier nodeCount) {
        mTicker = ticker;
        mNodeCount = nodeCount;
    }

    /** Offers a probe of the service's first target, unless the last one was too recent. */
    void offer(String service, List<String> targets) {
        if (targets.isEmpty()) {
            return;
        }
        long intervalMillis = INTERVAL_PER_NODE_MILLIS * Math.max(1, mNodeCount.getAsInt());
        Long acquiredMillis = mLastAcquiredMillis.get(service);
        if (acquiredMillis == null || mTicker.millis() - acquiredMillis >= intervalMillis) {
            mTokens.put(service, targets.get(0));
        }
    }

    /** Returns the target of the service to probe, if one was offered, and removes the offer. */
    Optional<String> tryAcquire(String service) {
        String target = mTokens.remove(service);
        if (target != null) {
            mLastAcquiredMillis.put(service, mTicker.millis());
        }
        return Optional.ofNullable(target);
    }
}
