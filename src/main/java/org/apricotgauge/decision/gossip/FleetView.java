package org.apricotgauge.decision.gossip;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotgauge.model.Vm;

/** Merges the platform's list, liveness and notices into one {@link LiveView}. */
final class FleetView {

    /** Told what changed. */
    interface Listener {
        void onView(LiveView view);

        void onLeaving(LeavingNotice notice);
    }

    private final GossipContext mContext;
    private final ItemGossip mItems;
    private final Liveness mLiveness;
    private final Announcer mAnnouncer;
    private final Listener mListener;
    private LiveView mView = LiveView.EMPTY;

    FleetView(
            GossipContext context,
            ItemGossip items,
            Liveness liveness,
            Announcer announcer,
            Listener listener) {
        mContext = context;
        mItems = items;
        mLiveness = liveness;
        mAnnouncer = announcer;
        mListener = listener;
    }

    LiveView view() {
        return mView;
    }

    /** Returns in how many failure domains, the own one too, other nodes are known. */
    int domainsKnown() {
        Set<String> domains = new HashSet<>();
        for (Vm vm : mView.nodes()) {
            if (!vm.id().equals(mContext.self().id())) {
                domains.add(vm.failureDomain());
            }
        }
        return domains.size();
    }

    void onLines(List<VmLine> news, List<String> forgotten) {
        LiveView view = mView;
        for (VmLine line : news) {
            view = view.withLine(line);
        }
        change(withNotices(view.without(forgotten)));
    }

    /** A peer said itself who it is. */
    void onMet(Vm vm, long incarnation) {
        if (mView.vm(vm.id()) == null || incarnation > mView.incarnation(vm.id())) {
            change(withNotices(mView.withAlive(vm, incarnation)));
        }
    }

    void onUnreachable(String vm) {
        change(mView.withUnreachable(vm, true));
    }

    void onLiveness(GossipItem item, long nowMillis) {
        long incarnation = item.sequence() / 2;
        if (item.node().equals(mContext.self().id())) {
            if (item.sequence() > 2 * mAnnouncer.incarnation()) {
                mContext.count(GossipEvent.SUSPICION_REFUTED);
                mAnnouncer.refute(incarnation, nowMillis);
            } else {
                change(mView.withAlive(mContext.self(), incarnation));
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
        Vm vm = VmPayload.vm(item.payload());
        if (vm != null && vm.id().equals(item.node())) {
            mLiveness.onAlive(vm.id());
            change(withNotices(mView.withAlive(vm, incarnation)));
        }
    }

    void onLeaving(GossipItem item, long nowMillis) {
        boolean own = item.node().equals(mContext.self().id());
        boolean fromEarlierRun = own && !mAnnouncer.saidLeaving(item.key());
        if (fromEarlierRun && item.sequence() >= mAnnouncer.incarnation()) {
            mAnnouncer.refute(item.sequence(), nowMillis);
        }
        LeavingNotice notice = new LeavingNotice(item.node(), item.key(), item.sequence());
        change(mView.withNotice(notice));
        mListener.onLeaving(notice);
    }

    /** A notice may come before the VM that it is about is known. */
    private LiveView withNotices(LiveView view) {
        LiveView noticed = view;
        for (GossipItem item : mItems.store().leaving()) {
            noticed =
                    noticed.withNotice(new LeavingNotice(item.node(), item.key(), item.sequence()));
        }
        return noticed;
    }

    private void change(LiveView view) {
        if (view != mView) {
            mView = view;
            mListener.onView(view);
        }
    }
}
