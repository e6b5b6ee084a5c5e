package org.apricotgauge.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.IntSupplier;
import org.apricotgauge.time.Ticker;

/**
 * Hands out the right to try an ejected target with one repeatable request.
 *
 * <p>All entries together shall try a target about once a second, not each of them: the pause
 * between two tries of one entry grows with the number of nodes. Thread-safe.
 */
final class ProbeTokens {
    /** Pause for each node of the fleet; one try a second over all nodes. */
    static final long INTERVAL_PER_NODE_MILLIS = 1_000;

    private final Ticker mTicker;
    private final IntSupplier mNodeCount;
    private final ConcurrentMap<String, String> mTokens = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Long> mLastAcquiredMillis = new ConcurrentHashMap<>();

    ProbeTokens(Ticker ticker, IntSupplier nodes) {
        mTicker = ticker;
        mNodeCount = nodes;
    }

    /** Notes that a target of the service is due to be tried. */
    void offer(String service, List<String> targets) {
        if (targets.isEmpty()) {
            return;
        }
        long pauseMillis = INTERVAL_PER_NODE_MILLIS * Math.max(1, mNodeCount.getAsInt());
        Long givenMillis = mLastAcquiredMillis.get(service);
        if (givenMillis == null || mTicker.millis() - givenMillis >= pauseMillis) {
            mTokens.put(service, targets.get(0));
        }
    }

    /** Takes the right to try a target of the service, if there is one. */
    Optional<String> tryAcquire(String service) {
        String target = mTokens.remove(service);
        if (target != null) {
            mLastAcquiredMillis.put(service, mTicker.millis());
        }
        return Optional.ofNullable(target);
    }
}
