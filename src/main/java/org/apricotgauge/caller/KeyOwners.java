package org.apricotgauge.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.decision.attempt.KeyOwner;
import org.apricotgauge.decision.routing.ServiceTable;

/**
 * Determines since when a target has been the owner of a key, within the retention time of keys.
 *
 * <p>When the configuration adds or removes a target, some keys get a new owner. It doesn't know
 * which of them the old owner ran, and must refuse them until the old owner's entries have expired.
 * Thread-safe.
 */
final class KeyOwners {
    private final long mRetentionMillis;
    private final ConcurrentMap<String, TargetSetHistory> mHistories = new ConcurrentHashMap<>();

    /** Sets of targets that a service has had, newest first. */
    private static final class TargetSetHistory {
        private final Deque<TargetSet> mTargetSets = new ArrayDeque<>();
    }

    private record TargetSet(long sinceMillis, List<String> targetIds) {}

    KeyOwners(long retentionMillis) {
        mRetentionMillis = retentionMillis;
    }

    /** Returns the ids of a service's targets, in the order that all nodes use. */
    static List<String> targetIds(ServiceTable table) {
        return table.all().stream().map(one -> one.target().id()).sorted().toList();
    }

    /**
     * Returns since when the key has had its current owner.
     *
     * @return a time in milliseconds, or {@link Long#MIN_VALUE} if no other owner is remembered
     */
    long ownerSinceMillis(IdempotencyKey key, ServiceTable table, long nowMillis) {
        TargetSetHistory history =
                mHistories.computeIfAbsent(table.service().id(), id -> new TargetSetHistory());
        List<String> currentIds = targetIds(table);
        synchronized (history) {
            recordTargetSet(history.mTargetSets, currentIds, nowMillis);
            String owner = KeyOwner.of(key, currentIds);
            long sinceMillis = Long.MIN_VALUE;
            for (TargetSet targetSet : history.mTargetSets) {
                if (!targetSet.targetIds().isEmpty()
                        && !KeyOwner.of(key, targetSet.targetIds()).equals(owner)) {
                    return sinceMillis;
                }
                sinceMillis = targetSet.sinceMillis();
            }
            return Long.MIN_VALUE;
        }
    }

    private void recordTargetSet(
            Deque<TargetSet> targetSets, List<String> currentIds, long nowMillis) {
        if (targetSets.isEmpty() || !targetSets.getFirst().targetIds().equals(currentIds)) {
            targetSets.addFirst(new TargetSet(nowMillis, currentIds));
        }
        // A set of targets is needed until the next newer one is older than the retention time.
        Iterator<TargetSet> oldestFirst = targetSets.descendingIterator();
        TargetSet oldest = oldestFirst.next();
        while (oldestFirst.hasNext()) {
            TargetSet newer = oldestFirst.next();
            if (nowMillis - newer.sinceMillis() <= mRetentionMillis) {
                return;
            }
            targetSets.remove(oldest);
            oldest = newer;
        }
    }
}
