package org.apricotgauge.decision.gossip;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The gossip items that hold at present: the latest of each (kind, node, key), bounded. */
final class ItemStore {
    static final int MAX_ITEMS = 8_192;
    static final int MAX_EVIDENCE_ITEMS_PER_NODE = 64;

    private record Key(GossipItem.Kind kind, String node, String key) {}

    private record StoredItem(GossipItem item, long deadlineMillis) {}

    private final Map<Key, StoredItem> mItems = new HashMap<>();
    private final Map<String, Integer> mEvidenceCountByNode = new HashMap<>();
    private long mHash;

    /** What came of an offer. */
    enum OfferResult {
        ACCEPTED,
        KNOWN,
        DROPPED
    }

    /** Takes an item in if it is the latest of its key and there is room. */
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

    /** Drops what has expired. */
    void expire(long nowMillis) {
        Iterator<StoredItem> held = mItems.values().iterator();
        while (held.hasNext()) {
            StoredItem next = held.next();
            if (next.deadlineMillis() <= nowMillis) {
                held.remove();
                onItemRemoved(next.item());
            }
        }
    }

    /** Returns all items with what is left of their lifetimes. */
    List<GossipItem> all(long nowMillis) {
        List<GossipItem> items = new ArrayList<>(mItems.size());
        for (StoredItem held : mItems.values()) {
            long left = held.deadlineMillis() - nowMillis;
            if (left > 0) {
                items.add(held.item().withLifetimeMillis(left));
            }
        }
        return items;
    }

    /** Returns the notices of leaving that hold. */
    List<GossipItem> leavingItems() {
        return mItems.values().stream()
                .map(StoredItem::item)
                .filter(item -> item.kind() == GossipItem.Kind.LEAVING)
                .toList();
    }

    /** Returns the latest item of a key, or null. */
    GossipItem get(GossipItem.Kind kind, String node, String key) {
        StoredItem held = mItems.get(new Key(kind, node, key));
        return held == null ? null : held.item();
    }

    /** Returns a hash over all but evidence; two stores with the same items have the same one. */
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
        // Evidence changes many times a second; were it hashed, no two stores would ever agree and
        // each heartbeat would start a full exchange.
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
