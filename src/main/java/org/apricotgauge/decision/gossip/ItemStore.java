package org.apricotgauge.decision.gossip;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** A bounded store of unexpired gossip items: the latest of each kind, node and key. */
final class ItemStore {
    static final int MAX_ITEMS = 8_192;
    static final int MAX_EVIDENCE_ITEMS_PER_NODE = 64;

    private record Key(GossipItem.Kind kind, String node, String key) {}

    private record StoredItem(GossipItem item, long deadlineMillis) {}

    private final Map<Key, StoredItem> mItems = new HashMap<>();
    private final Map<String, Integer> mEvidenceCountByNode = new HashMap<>();
    private long mHash;

    /** Result of {@link #offer}. */
    enum OfferResult {
        ACCEPTED,
        KNOWN,
        DROPPED
    }

    /** Stores an item if it is the latest of its kind, node and key and there is capacity. */
    OfferResult offer(GossipItem item, long nowMillis) {
        Key key = new Key(item.kind(), item.node(), item.key());
        StoredItem old = mItems.get(key);
        if (item.lifetimeMillis() == 0
                || (old != null && old.item().sequence() >= item.sequence())) {
            return OfferResult.KNOWN;
        }
        if (old == null && !hasCapacityFor(item)) {
            return OfferResult.DROPPED;
        }
        if (old != null) {
            onItemRemoved(old.item());
        }
        mItems.put(key, new StoredItem(item, nowMillis + item.lifetimeMillis()));
        mHash ^= hashOf(item);
        if (item.kind() == GossipItem.Kind.EVIDENCE) {
            mEvidenceCountByNode.merge(item.node(), 1, Integer::sum);
        }
        return OfferResult.ACCEPTED;
    }

    /** Removes expired items. */
    void expire(long nowMillis) {
        Iterator<StoredItem> iterator = mItems.values().iterator();
        while (iterator.hasNext()) {
            StoredItem next = iterator.next();
            if (next.deadlineMillis() <= nowMillis) {
                iterator.remove();
                onItemRemoved(next.item());
            }
        }
    }

    /** Returns all unexpired items with their remaining lifetimes. */
    List<GossipItem> all(long nowMillis) {
        List<GossipItem> items = new ArrayList<>(mItems.size());
        for (StoredItem stored : mItems.values()) {
            long remainingMillis = stored.deadlineMillis() - nowMillis;
            if (remainingMillis > 0) {
                items.add(stored.item().withLifetimeMillis(remainingMillis));
            }
        }
        return items;
    }

    /** Returns the items of kind {@link GossipItem.Kind#LEAVING}. */
    List<GossipItem> leavingItems() {
        return mItems.values().stream()
                .map(StoredItem::item)
                .filter(item -> item.kind() == GossipItem.Kind.LEAVING)
                .toList();
    }

    /** Returns the latest item of a kind, node and key, or null. */
    GossipItem get(GossipItem.Kind kind, String node, String key) {
        StoredItem stored = mItems.get(new Key(kind, node, key));
        return stored == null ? null : stored.item();
    }

    /**
     * Returns a hash over all items other than evidence; it is equal for two stores with the same
     * items.
     */
    long hash() {
        return mHash;
    }

    int size() {
        return mItems.size();
    }

    private boolean hasCapacityFor(GossipItem item) {
        if (mItems.size() >= MAX_ITEMS) {
            return false;
        }
        return item.kind() != GossipItem.Kind.EVIDENCE
                || mEvidenceCountByNode.getOrDefault(item.node(), 0) < MAX_EVIDENCE_ITEMS_PER_NODE;
    }

    private void onItemRemoved(GossipItem item) {
        mHash ^= hashOf(item);
        if (item.kind() == GossipItem.Kind.EVIDENCE) {
            mEvidenceCountByNode.computeIfPresent(
                    item.node(), (node, count) -> count == 1 ? null : count - 1);
        }
    }

    private static long hashOf(GossipItem item) {
        // Evidence changes many times per second; if it were hashed, no two stores would ever agree
        // and each heartbeat would start a full exchange.
        if (item.kind() == GossipItem.Kind.EVIDENCE) {
            return 0;
        }
        HashStream64 stream = Hashing.komihash5_0().hashStream();
        return stream.putInt(item.kind().ordinal())
                .putString(item.node())
                .putString(item.key())
                .putLong(item.sequence())
                .getAsLong();
    }
}
