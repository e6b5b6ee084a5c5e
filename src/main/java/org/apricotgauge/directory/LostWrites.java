package org.apricotgauge.directory;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apricotgauge.model.Checks;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The writes that this node knows and the platform no longer has: its store was restored from a
 * copy, or an older write was repeated after them.
 *
 * <pre>{@code
 * lost.beginEra(before, after, nowMillis);             // the store was restored
 * lost.merge(page.lostWrites(), table, nowMillis);     // told by another node
 * lost.isOutdated(item);                               // whether the store's item counts no more
 * }</pre>
 *
 * <p>They stay in force and are told to other nodes until the store has them again. An end of a
 * registration gives way after a while, since a target that lives may be registered in the copy and
 * writes nothing that differs; a target that has ended is no longer registered by then. Not
 * thread-safe, except {@link #items} and {@link #digest}.
 */
final class LostWrites {
    /** Maximum age of a copy that a store is restored from, in milliseconds. */
    static final long MAX_COPY_AGE_MILLIS = 60_000;

    private final WriteOrder mOrder;
    private final long mMaxEndMillis;
    private final Map<String, End> mRecentEnds = new LinkedHashMap<>();
    private long mEraBeganMillis;
    private volatile Snapshot mSnapshot = new Snapshot(HashTreePMap.empty(), 0);

    /** The end of a registration; the item has the value that it had last. */
    private record End(PublishedItem item, long atMillis) {}

    private record Snapshot(PMap<String, PublishedItem> items, long digest) {
        Snapshot with(PublishedItem item) {
            return new Snapshot(
                    items.plus(item.key(), item), digest ^ hash(item) ^ replacedHash(item.key()));
        }

        Snapshot without(String key) {
            PublishedItem item = items.get(key);
            return item == null ? this : new Snapshot(items.minus(key), digest ^ hash(item));
        }

        private long replacedHash(String key) {
            PublishedItem replaced = items.get(key);
            return replaced == null ? 0 : hash(replaced);
        }

        private static long hash(PublishedItem item) {
            HashStream64 hash = Hashing.komihash5_0().hashStream();
            hash.putString(item.key()).putByteArray(item.value()).putBoolean(item.removed());
            return hash.getAsLong();
        }
    }

    /**
     * Creates an instance without writes.
     *
     * @param order compares writes
     * @param maxEndMillis how long an end is retained after a restore, in milliseconds
     */
    LostWrites(WriteOrder order, long maxEndMillis) {
        mOrder = Checks.notNull("order", order);
        mMaxEndMillis = maxEndMillis;
    }

    /** Returns the writes, in no order; ends have the value of the registration that ended. */
    Collection<PublishedItem> items() {
        return mSnapshot.items().values();
    }

    /** Returns the number of writes. */
    int count() {
        return mSnapshot.items().size();
    }

    /** Returns a hash of writes that does not depend on their order; 0 if there are none. */
    static long digestOf(Collection<PublishedItem> writes) {
        return writes.stream().mapToLong(Snapshot::hash).reduce(0, (one, other) -> one ^ other);
    }

    /** Returns a hash of the writes that does not depend on their order; 0 if there are none. */
    long digest() {
        return mSnapshot.digest();
    }

    /** Records a change that was read from the store, and that no lost write is newer than. */
    void recordChange(PublishedItem before, PublishedItem after, long nowMillis) {
        PublishedItem lost = mSnapshot.items().get(after.key());
        PublishedItem last = lost == null ? before : lost;
        mSnapshot = mSnapshot.without(after.key());
        mRecentEnds.remove(after.key());
        if (after.removed() && last != null && last.value().length > 0) {
            mRecentEnds.put(after.key(), new End(withRemoved(last, true), nowMillis));
        }
        mRecentEnds.values().removeIf(end -> nowMillis - end.atMillis() > MAX_COPY_AGE_MILLIS);
    }

    private static PublishedItem withRemoved(PublishedItem item, boolean removed) {
        return new PublishedItem(item.key(), item.value(), item.revision(), removed);
    }

    /**
     * Returns whether a newer write is known than what the store has for its key; a leaving notice
     * that was given up with its target's end counts as lost again.
     */
    boolean isOutdated(PublishedItem stored) {
        if (stored.removed()) {
            return false;
        }
        PublishedItem lost = mSnapshot.items().get(stored.key());
        if (lost != null) {
            return mOrder.isNewer(lost, stored);
        }
        End end = mRecentEnds.get(stored.key());
        return end != null
                && mOrder.isLeaving(end.item())
                && retain(withRemoved(end.item(), false), stored);
    }

    /** Retains a write if it is newer than the one that replaced it; returns whether it is. */
    boolean retain(PublishedItem known, PublishedItem stored) {
        if (known == null || known.removed() || !mOrder.isNewer(known, stored)) {
            return false;
        }
        mSnapshot = mSnapshot.with(known);
        return true;
    }

    /** Records that this node has read its first page; nothing is lost yet. */
    void begin(long nowMillis) {
        mEraBeganMillis = nowMillis;
    }

    /**
     * Determines what is lost after a restore.
     *
     * @param before the items before it
     * @param after the items of the restored store
     */
    void beginEra(ItemTable before, ItemTable after, long nowMillis) {
        mEraBeganMillis = nowMillis;
        List<PublishedItem> known = new ArrayList<>(before.liveItems());
        mRecentEnds.values().forEach(end -> known.add(end.item()));
        known.addAll(items());
        mSnapshot = new Snapshot(HashTreePMap.empty(), 0);
        known.forEach(item -> add(item, after));
    }

    /**
     * Adds writes that another node knows.
     *
     * @param table the items of the store
     * @return the writes that this node did not know
     */
    List<PublishedItem> merge(List<PublishedItem> told, ItemTable table, long nowMillis) {
        List<PublishedItem> added = new ArrayList<>();
        for (PublishedItem item : told) {
            if (item.removed() && isGivenUp(nowMillis)) {
                continue;
            }
            PublishedItem lost = add(item, table);
            if (lost != null) {
                added.add(lost);
            }
        }
        return added;
    }

    private boolean isGivenUp(long nowMillis) {
        return nowMillis - mEraBeganMillis >= mMaxEndMillis;
    }

    /** Adds a write if the store lacks it; returns it, or null if it was not added. */
    private PublishedItem add(PublishedItem item, ItemTable table) {
        PublishedItem stored = table.item(item.key());
        PublishedItem lost =
                stored == null || stored.removed() ? withoutStored(item) : newer(item, stored);
        PublishedItem known = mSnapshot.items().get(item.key());
        if (lost == null || (known != null && !mOrder.isNewer(lost, known))) {
            return null;
        }
        mSnapshot = mSnapshot.with(lost);
        return lost;
    }

    private PublishedItem newer(PublishedItem item, PublishedItem stored) {
        boolean isSame = !item.removed() && Arrays.equals(item.value(), stored.value());
        return !isSame && mOrder.isNewer(item, stored) ? item : null;
    }

    // A target that accepted work registers again if it lives; one that was leaving has left.
    private PublishedItem withoutStored(PublishedItem item) {
        if (item.removed() || mOrder.isConfiguration(item)) {
            return item;
        }
        return mOrder.isLeaving(item) ? withRemoved(item, true) : null;
    }

    /**
     * Gives up the ends that are retained for too long.
     *
     * @param table the items of the store
     * @return the keys whose registration in the store counts again
     */
    List<String> expire(ItemTable table, long nowMillis) {
        if (mSnapshot.digest() == 0 || !isGivenUp(nowMillis)) {
            return List.of();
        }
        List<String> givenUp = new ArrayList<>();
        for (PublishedItem end : items()) {
            if (!end.removed()) {
                continue;
            }
            mSnapshot = mSnapshot.without(end.key());
            mRecentEnds.remove(end.key());
            PublishedItem stored = table.item(end.key());
            boolean isStored = stored != null && !stored.removed();
            if (mOrder.isLeaving(end)) {
                mRecentEnds.put(end.key(), new End(end, nowMillis));
            } else if (isStored) {
                givenUp.add(end.key());
            }
            if (isStored) {
                isOutdated(stored);
            }
        }
        return givenUp;
    }
}
