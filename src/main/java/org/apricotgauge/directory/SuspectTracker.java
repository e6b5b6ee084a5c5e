package org.apricotgauge.directory;

import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.model.Address;

/**
 * Nodes that did not answer, or knew too little, and are passed over for a while.
 *
 * <p>The time doubles with each failure in a row: a node that died with its registration in place
 * is tried by its neighbours less and less, while one that was slow once is back at once. Not
 * thread-safe.
 */
final class SuspectTracker {
    /** How long a node is passed over after its first failure, in milliseconds. */
    static final long INITIAL_MILLIS = 1_000;

    /** How long it is passed over at the most, in milliseconds. */
    static final long MAX_MILLIS = 8_000;

    private final Map<Address, Suspicion> mSuspicions = new HashMap<>();

    private record Suspicion(long untilMillis, long durationMillis) {
        // Nodes of long ago would stay here for good.
        boolean isExpiredAt(long nowMillis) {
            return nowMillis - untilMillis > MAX_MILLIS;
        }
    }

    /** Notes a failure. */
    void recordFailure(Address node, long nowMillis) {
        mSuspicions.values().removeIf(known -> known.isExpiredAt(nowMillis));
        mSuspicions.compute(
                node,
                (key, known) -> {
                    long lengthMillis =
                            known == null
                                    ? INITIAL_MILLIS
                                    : Math.min(MAX_MILLIS, 2 * known.durationMillis());
                    return new Suspicion(nowMillis + lengthMillis, lengthMillis);
                });
    }

    /** Notes that a node told what it was asked for. */
    void recordSuccess(Address node) {
        mSuspicions.remove(node);
    }

    /** Returns whether no node has failed since it last told what it was asked for. */
    boolean isEmpty() {
        return mSuspicions.isEmpty();
    }

    /** Returns whether a node is passed over now. */
    boolean contains(Address node, long nowMillis) {
        Suspicion known = mSuspicions.get(node);
        return known != null && nowMillis < known.untilMillis();
    }
}
