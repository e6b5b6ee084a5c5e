package org.apricotgauge.decision.gossip;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotgauge.model.Vm;

/** Merges the platform's list, liveness and notices into one {@link VmView}. */
final class MembershipView {

    /** Told what changed. */
    interface Listener {
        void onView(VmView view);

        void onLeaving(LeavingNotice notice);
    }

    private final GossipContext mContext;
    private final ItemGossip mItems;
    private final PeerFailureDetector mLiveness;
    private final Announcer mAnnouncer;
    private final Listener mListener;
    private VmView mView = VmView.EMPTY;

    MembershipView(
            GossipContext context,
            ItemGossip items,
            PeerFailureDetector liveness,
            Announcer announcer,
            Listener listener) {
        mContext = context;
        mItems = items;
        mLiveness = liveness;
        mAnnouncer = announcer;
        mListener = listener;
    }

    VmView view() {
        return mView;
    }

    /** Returns in how many failure domains, the own one too, other nodes are known. */
    int knownDomains() {
        Set<String> domains = new HashSet<>();
        for (Vm vm : mView.nodes()) {
            if (!vm.id().equals(mContext.self().id())) {
                domains.add(vm.failureDomain());
            }
        }
        return domains.size();
    }

    void onVmLines(List<VmLine> news, List<String> forgotten) {
        VmView view = mView;
        for (VmLine line : news) {
            view = view.withLine(line);
        }
        update(withNotices(view.without(forgotten)));
    }

    /** A peer said itself who it is. */
    void onPeerIdentified(Vm vm, long incarnation) {
        if (mView.vm(vm.id()) == null || incarnation > mView.incarnation(vm.id())) {
            update(withNotices(mView.withAlive(vm, incarnation)));
        }
    }

    void onUnreachable(String vm) {
        update(mView.withUnreachable(vm, true));
    }

    void onLiveness(GossipItem item, long nowMillis) {
        long incarnation = item.sequence() / 2;
        if (item.node().equals(mContext.self().id())) {
            if (item.sequence() > 2 * mAnnouncer.incarnation()) {
                mContext.count(GossipEvent.SUSPICION_REFUTED);
                mAnnouncer.refute(incarnation, nowMillis);
            } else {
                update(mView.withAlive(mContext.self(), incarnation));
            }
            return;
        }
        boolean suspected = item.sequence() % 2 == 1;
        if (suspected) {
            if (incarnation >= mView.incarnation(item.node())) {
                mLiveness.onSuspected(item.node(), nowMillis);
            }
            return;
        }
        Vm vm = ItemPayloads.decodeVm(item.payload());
        if (vm != null && vm.id().equals(item.node())) {
            mLiveness.onAlive(vm.id());
            update(withNotices(mView.withAlive(vm, incarnation)));
        }
    }

    void onLeaving(GossipItem item, long nowMillis) {
        boolean own = item.node().equals(mContext.self().id());
        boolean fromEarlierRun = own && !mAnnouncer.hasAnnouncedLeaving(item.key());
        if (fromEarlierRun && item.sequence() >= mAnnouncer.incarnation()) {
            mAnnouncer.refute(item.sequence(), nowMillis);
        }
        LeavingNotice notice = new LeavingNotice(item.node(), item.key(), item.sequence());
        update(mView.withNotice(notice));
        mListener.onLeaving(notice);
    }

    /** A notice may come before the VM that it is about is known. */
    private VmView withNotices(VmView view) {
        VmView noticed = view;
        for (GossipItem item : mItems.store().leavingItems()) {
            noticed =
                    noticed.withNotice(new LeavingNotice(item.node(), item.key(), item.sequence()));
        }
        return noticed;
    }

    private void update(VmView view) {
        if (view != mView) {
            mView = view;
            mListener.onView(view);
        }
    }
}
