package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.decision.TokenBucket;

/** Floods items along all links, and compares stores by hash to repair missed items. */
final class ItemGossip {
    private static final long SYNC_INTERVAL_MILLIS = 30_000;
    private static final int ITEM_OVERHEAD_BYTES = 96;
    private static final double EVIDENCE_BYTES_PER_SECOND = 512;
    private static final double EVIDENCE_BURST_BYTES = 16 << 10;
    private static final int MAX_ITEMS_PER_MESSAGE = 1_000;

    /** Receives each newly accepted item. */
    interface Listener {
        void onItem(GossipItem item, long nowMillis);
    }

    private final GossipContext mContext;
    private final PeerTransport<?> mTransport;
    private final Listener mListener;
    private final ItemStore mStore = new ItemStore();
    private final TokenBucket mEvidenceBudget;
    private long mNextSyncMillis = Long.MIN_VALUE;
    private boolean mFullSyncReceived;

    ItemGossip(
            GossipContext context, PeerTransport<?> transport, Listener listener, long nowMillis) {
        mContext = context;
        mTransport = transport;
        mListener = listener;
        mEvidenceBudget =
                new TokenBucket(EVIDENCE_BYTES_PER_SECOND, EVIDENCE_BURST_BYTES, nowMillis);
    }

    ItemStore store() {
        return mStore;
    }

    /**
     * Returns whether a full exchange was received since the start or the last {@link
     * #requireFullSync}.
     */
    boolean fullSyncReceived() {
        return mFullSyncReceived;
    }

    /** Requests a full exchange without delay at the next difference of hashes. */
    void requireFullSync() {
        mFullSyncReceived = false;
        mNextSyncMillis = Long.MIN_VALUE;
    }

    void publish(GossipItem item, long nowMillis) {
        acceptItems(List.of(item), null, nowMillis);
    }

    void onItems(Link source, PeerMessage.Items message, long nowMillis) {
        mFullSyncReceived |= message.whole();
        acceptItems(message.items(), source, nowMillis);
    }

    void onSummary(Link link, StateSummary summary, long nowMillis) {
        boolean isDue = nowMillis >= mNextSyncMillis;
        if (isDue && link.established() && summary.itemsHash() != mStore.hash()) {
            mNextSyncMillis = nowMillis + SYNC_INTERVAL_MILLIS;
            mTransport.send(link.mId, new PeerMessage.ItemsRequest());
        }
    }

    void onItemsRequest(Link link, long nowMillis) {
        List<GossipItem> all = mStore.all(nowMillis);
        for (int from = 0; from < all.size(); from += MAX_ITEMS_PER_MESSAGE) {
            int to = Math.min(all.size(), from + MAX_ITEMS_PER_MESSAGE);
            mTransport.send(
                    link.mId, new PeerMessage.Items(all.subList(from, to), to == all.size()));
        }
        if (all.isEmpty()) {
            mTransport.send(link.mId, new PeerMessage.Items(List.of(), true));
        }
    }

    void tick(long nowMillis) {
        mStore.expire(nowMillis);
    }

    private void acceptItems(List<GossipItem> items, Link source, long nowMillis) {
        List<GossipItem> forward = new ArrayList<>();
        for (GossipItem item : items) {
            ItemStore.OfferResult result = mStore.offer(item, nowMillis);
            if (result == ItemStore.OfferResult.DROPPED) {
                mContext.count(GossipEvent.ITEM_DROPPED);
            }
            if (result != ItemStore.OfferResult.ACCEPTED) {
                continue;
            }
            if (isWithinBudget(item, nowMillis)) {
                forward.add(item);
            } else {
                mContext.count(GossipEvent.ITEM_DROPPED);
            }
            mListener.onItem(item, nowMillis);
        }
        if (!forward.isEmpty()) {
            flood(new PeerMessage.Items(forward, false), source);
        }
    }

    private boolean isWithinBudget(GossipItem item, long nowMillis) {
        // Liveness and leaving items are bounded by the rate at which VMs start and stop; evidence
        // is bounded only here. With 8 links, one accepted byte costs up to 15 bytes on the wire.
        return item.kind() != GossipItem.Kind.EVIDENCE
                || mEvidenceBudget.tryConsume(
                        item.payload().length + ITEM_OVERHEAD_BYTES, nowMillis);
    }

    private void flood(PeerMessage message, Link source) {
        for (Link link : mContext.links().established()) {
            if (link != source) {
                mTransport.send(link.mId, message);
            }
        }
    }
}
