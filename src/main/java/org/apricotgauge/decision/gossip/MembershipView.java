package org.apricotgauge.decision.gossip;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotgauge.model.Vm;

/** Merges the platform's VM list, liveness items and leaving notices into a {@link VmView}. */
final class MembershipView {

    /** Receives changes of the view. */
    interface Listener {
        void onView(VmView view);

        void onLeaving(LeavingNotice notice);
    }

    private final GossipContext mContext;
    private final ItemGossip mItems;
    private final PeerFailureDetector mFailureDetector;
    private final Announcer mAnnouncer;
    private final Listener mListener;
    private VmView mView = VmView.EMPTY;

    MembershipView(
            GossipContext context,
            ItemGossip items,
            PeerFailureDetector failureDetector,
            Announcer announcer,
            Listener listener) {
        mContext = context;
        mItems = items;
        mFailureDetector = failureDetector;
        mAnnouncer = announcer;
        mListener = listener;
    }

    VmView view() {
        return mView;
    }

    /** Returns the number of failure domains, including the local one, with other known nodes. */
    int knownDomains() {
        Set<String> domains = new HashSet<>();
        for (Vm vm : mView.nodes()) {
            if (!vm.id().equals(mContext.self().id())) {
                domains.add(vm.failureDomain());
            }
        }
        return domains.size();
    }

    void onVmLines(List<VmLine> changed, List<String> evicted) {
        VmView view = mView;
        for (VmLine line : changed) {
            view = view.withLine(line);
        }
        update(withNotices(view.without(evicted)));
    }

    /** Called when a peer has identified itself on a link. */
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
        boolean isSuspected = item.sequence() % 2 == 1;
        if (isSuspected) {
            if (incarnation >= mView.incarnation(item.node())) {
                mFailureDetector.onSuspected(item.node(), nowMillis);
            }
            return;
        }
        Vm vm = ItemPayloads.decodeVm(item.payload());
        if (vm != null && vm.id().equals(item.node())) {
            mFailureDetector.onAlive(vm.id());
            update(withNotices(mView.withAlive(vm, incarnation)));
        }
    }

    void onLeaving(GossipItem item, long nowMillis) {
        boolean isOwn = item.node().equals(mContext.self().id());
        boolean fromEarlierRun = isOwn && !mAnnouncer.hasAnnouncedLeaving(item.key());
        if (fromEarlierRun && item.sequence() >= mAnnouncer.incarnation()) {
            mAnnouncer.refute(item.sequence(), nowMillis);
        }
        LeavingNotice notice = new LeavingNotice(item.node(), item.key(), item.sequence());
        update(mView.withNotice(notice));
        mListener.onLeaving(notice);
    }

    /** Applies the stored notices again, as a notice may be received before its VM is known. */
    private VmView withNotices(VmView view) {
        VmView result = view;
        for (GossipItem item : mItems.store().leavingItems()) {
            result = result.withNotice(new LeavingNotice(item.node(), item.key(), item.sequence()));
        }
        return result;
    }

    private void update(VmView view) {
        if (view != mView) {
            mView = view;
            mListener.onView(view);
        }
    }
}
