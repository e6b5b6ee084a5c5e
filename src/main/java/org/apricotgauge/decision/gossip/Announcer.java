package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** What a node says about itself: that it lives, that it is leaving, that it lost the platform. */
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

    /** Returns whether this run said that the target, or the whole VM, is leaving. */
    boolean hasAnnouncedLeaving(String target) {
        return mLeavingTargets.contains(target);
    }

    /** Returns what this run says of itself, for a peer that may not know the run yet. */
    List<GossipItem> ownItems() {
        List<GossipItem> statements = new ArrayList<>();
        String self = mContext.self().id();
        statements.add(mItems.store().get(GossipItem.Kind.LIVENESS, self, ""));
        for (String target : mLeavingTargets) {
            statements.add(mItems.store().get(GossipItem.Kind.LEAVING, self, target));
        }
        statements.removeIf(item -> item == null);
        return statements;
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
     * Somebody says something of us that we did not say in this run: takes a later incarnation.
     *
     * <p>A leaving node says again that it is leaving, or the new incarnation would take its own
     * notice back.
     */
    void refute(long heardIncarnation, long nowMillis) {
        if (heardIncarnation >= NodeIdentity.MAX_INCARNATION) {
            return; // no run of this node said that; there would be no later incarnation left
        }
        mIncarnation = Math.max(mIncarnation, heardIncarnation) + 1;
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
