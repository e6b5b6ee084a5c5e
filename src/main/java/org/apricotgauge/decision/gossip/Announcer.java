package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Publishes the items of a node about itself: that it is alive, that it or a target is leaving, and
 * that it lost or restored its connection to the platform.
 */
final class Announcer {
    private static final long LIFETIME_MILLIS = GossipItem.MAX_LIFETIME_MILLIS;
    private static final long WATCH_LIFETIME_MILLIS = 60_000;
    private static final byte[] PLATFORM_LOST = {0};
    private static final byte[] PLATFORM_RESTORED = {1};

    private final GossipContext mContext;
    private final ItemGossip mItems;
    private final Set<String> mLeavingTargets = new LinkedHashSet<>();
    private long mIncarnation;
    private long mWatchSequence;

    Announcer(GossipContext context, ItemGossip items, long incarnation) {
        mContext = context;
        mItems = items;
        mIncarnation = incarnation;
        mWatchSequence = incarnation;
    }

    long incarnation() {
        return mIncarnation;
    }

    boolean isVmLeaving() {
        return mLeavingTargets.contains(LeavingNotice.WHOLE_VM);
    }

    /** Returns whether this run announced that the target, or the whole VM, is leaving. */
    boolean hasAnnouncedLeaving(String target) {
        return mLeavingTargets.contains(target);
    }

    /** Returns the items of this run about itself, for a peer that may not have them yet. */
    List<GossipItem> ownItems() {
        List<GossipItem> items = new ArrayList<>();
        String self = mContext.self().id();
        items.add(mItems.store().get(GossipItem.Kind.LIVENESS, self, ""));
        for (String target : mLeavingTargets) {
            items.add(mItems.store().get(GossipItem.Kind.LEAVING, self, target));
        }
        items.removeIf(item -> item == null);
        return items;
    }

    void announceAlive(long nowMillis) {
        publish(
                GossipItem.Kind.LIVENESS,
                "",
                2 * mIncarnation,
                ItemPayloads.encode(mContext.self()),
                nowMillis);
    }

    void announceLeaving(String target, long nowMillis) {
        mLeavingTargets.add(target);
        publish(
                GossipItem.Kind.LEAVING,
                target,
                mIncarnation,
                ItemPayloads.encode(mIncarnation),
                nowMillis);
    }

    void announcePlatformState(boolean lost, long nowMillis) {
        GossipItem item =
                new GossipItem(
                        GossipItem.Kind.WATCH,
                        mContext.self().id(),
                        "",
                        ++mWatchSequence,
                        WATCH_LIFETIME_MILLIS,
                        lost ? PLATFORM_LOST : PLATFORM_RESTORED);
        mItems.publish(item, nowMillis);
    }

    /**
     * Refutes an item about this node that this run did not publish, by taking a later incarnation.
     *
     * <p>A leaving node repeats its leaving notices, since the new incarnation would otherwise
     * revoke them.
     */
    void refute(long refutedIncarnation, long nowMillis) {
        if (refutedIncarnation >= NodeIdentity.MAX_INCARNATION) {
            return; // not published by any run of this node; no later incarnation would be left
        }
        mIncarnation = Math.max(mIncarnation, refutedIncarnation) + 1;
        announceAlive(nowMillis);
        Set.copyOf(mLeavingTargets).forEach(target -> announceLeaving(target, nowMillis));
    }

    static boolean reportsPlatformLost(GossipItem watch) {
        return watch != null
                && watch.payload().length > 0
                && watch.payload()[0] == PLATFORM_LOST[0];
    }

    private void publish(
            GossipItem.Kind kind, String key, long sequence, byte[] payload, long nowMillis) {
        String self = mContext.self().id();
        mItems.publish(
                new GossipItem(kind, self, key, sequence, LIFETIME_MILLIS, payload), nowMillis);
    }
}
