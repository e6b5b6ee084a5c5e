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
 * Knows since when a target has been the home of a key, as far back as keys are remembered.
 *
 * <p>When the configuration adds or removes a target, the homes of some keys move. A new home can't
 * know what the old one ran; it must refuse such keys until what the old one knew has expired.
 * Thread-safe.
 */
final class KeyOwners {
    private final long mRetentionMillis;
    private final ConcurrentMap<String, TargetSetHistory> mHistories = new ConcurrentHashMap<>();

    /** Targets of a service from a time on; the newest first. */
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
     * Returns since when the key's present home has been its home.
     *
     * @return a time in milliseconds, or {@link Long#MIN_VALUE} if no other home is remembered
     */
    long ownerSinceMillis(IdempotencyKey key, ServiceTable table, long nowMillis) {
        TargetSetHistory history =
                mHistories.computeIfAbsent(table.service().id(), id -> new TargetSetHistory());
        List<String> present = targetIds(table);
        synchronized (history) {
            recordTargetSet(history.mTargetSets, present, nowMillis);
            String home = KeyOwner.of(key, present);
            long sinceMillis = Long.MIN_VALUE;
            for (TargetSet era : history.mTargetSets) {
                if (!era.targetIds().isEmpty() && !KeyOwner.of(key, era.targetIds()).equals(home)) {
                    return sinceMillis;
                }
                sinceMillis = era.sinceMillis();
            }
            return Long.MIN_VALUE;
        }
    }

    private void recordTargetSet(Deque<TargetSet> eras, List<String> present, long nowMillis) {
        if (eras.isEmpty() || !eras.getFirst().targetIds().equals(present)) {
            eras.addFirst(new TargetSet(nowMillis, present));
        }
        // An era matters for as long as the one after it is younger than the retention.
        Iterator<TargetSet> oldest = eras.descendingIterator();
        TargetSet last = oldest.next();
        while (oldest.hasNext()) {
            TargetSet after = oldest.next();
            if (nowMillis - after.sinceMillis() <= mRetentionMillis) {
                return;
            }
            eras.remove(last);
            last = after;
        }
    }
}
