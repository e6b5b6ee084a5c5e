package org.apricotgauge.directory;

import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.model.Address;

/**
 * Tracks nodes that did not answer, or whose views were too stale, and that are skipped for a
 * while.
 *
 * <p>The duration doubles with each consecutive failure: a node that died without removing its
 * registration is tried by its neighbors less and less often, while one that was slow once is tried
 * again soon. Not thread-safe.
 */
final class SuspectTracker {
    /** How long a node is skipped after its first failure, in milliseconds. */
    static final long INITIAL_MILLIS = 1_000;

    /** The longest time for which a node is skipped, in milliseconds. */
    static final long MAX_MILLIS = 8_000;

    private final Map<Address, Suspicion> mSuspicions = new HashMap<>();

    private record Suspicion(long untilMillis, long durationMillis) {
        // Without expiry, entries of nodes that no longer exist would never be removed.
        boolean isExpiredAt(long nowMillis) {
            return nowMillis - untilMillis > MAX_MILLIS;
        }
    }

    /** Records a failure. */
    void recordFailure(Address node, long nowMillis) {
        mSuspicions.values().removeIf(known -> known.isExpiredAt(nowMillis));
        mSuspicions.compute(
                node,
                (key, known) -> {
                    long durationMillis =
                            known == null
                                    ? INITIAL_MILLIS
                                    : Math.min(MAX_MILLIS, 2 * known.durationMillis());
                    return new Suspicion(nowMillis + durationMillis, durationMillis);
                });
    }

    /** Records that a node answered with a fresh view. */
    void recordSuccess(Address node) {
        mSuspicions.remove(node);
    }

    /** Returns whether no node has failed since its last success. */
    boolean isEmpty() {
        return mSuspicions.isEmpty();
    }

    /** Returns whether a node is skipped now. */
    boolean contains(Address node, long nowMillis) {
        Suspicion known = mSuspicions.get(node);
        return known != null && nowMillis < known.untilMillis();
    }
}
