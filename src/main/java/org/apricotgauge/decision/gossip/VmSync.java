package org.apricotgauge.decision.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apricotgauge.model.VmStatus;
import org.apricotgauge.platform.VmPage;

/**
 * Replicates the platform's list of VMs to every node: its revision is announced in summaries, and
 * peers pull the changes since their own revision.
 */
final class VmSync {
    private static final int MAX_LINES_PER_MESSAGE = 500;
    private static final long PULL_TIMEOUT_MILLIS = 500;
    private static final long REMOVAL_WINDOW_MILLIS = 60_000;
    private static final int REMOVAL_SHARE_DIVISOR = 10;
    private static final int MIN_ALLOWED_REMOVALS = 3;

    /** Receives changes of the list. */
    interface Listener {
        void onVmLines(List<VmLine> changed, List<String> evicted);
    }

    private final GossipContext mContext;
    private final PeerTransport<?> mTransport;
    private final Listener mListener;
    private final Consumer<Link> mAnnounce;
    private final VmTable mTable = new VmTable();
    private long mPullDeadlineMillis;
    private long mWindowStartMillis;
    private int mRemovedInWindow;

    VmSync(
            GossipContext context,
            PeerTransport<?> transport,
            Listener listener,
            Consumer<Link> announce) {
        mContext = context;
        mTransport = transport;
        mListener = listener;
        mAnnounce = announce;
    }

    long revision() {
        return mTable.revision();
    }

    void onSummary(Link link, StateSummary summary, long nowMillis) {
        if (summary.vmRevision() > mTable.revision()) {
            pullFrom(link, nowMillis);
        }
    }

    void onRequest(Link link, long sinceRevision) {
        if (sinceRevision < mTable.revision()) {
            mTransport.send(link.mId, mTable.changesSince(sinceRevision, MAX_LINES_PER_MESSAGE));
        }
    }

    void onChanges(Link link, PeerMessage.VmChanges changes, long nowMillis) {
        mPullDeadlineMillis = 0;
        long before = mTable.revision();
        List<VmLine> changed =
                mTable.apply(changes.sinceRevision(), changes.revision(), changes.lines());
        notifyListener(changed);
        if (mTable.revision() == before) {
            return;
        }
        if (link.mSummary.vmRevision() > mTable.revision()) {
            pullFrom(link, nowMillis);
        } else {
            mAnnounce.accept(link);
        }
    }

    /**
     * Applies a page of the platform's list.
     *
     * @return whether the page is at least as recent as the local list
     */
    boolean onPublished(long sinceRevision, VmPage page, long nowMillis) {
        if (page.revision() < mTable.revision()) {
            mContext.count(GossipEvent.STALE_PLATFORM);
            return false;
        }
        List<VmLine> lines = new ArrayList<>();
        for (VmStatus status : page.vms()) {
            lines.add(new VmLine(page.revision(), status.vm().id(), status));
        }
        if (areRemovalsPlausible(page.removed().size(), nowMillis)) {
            page.removed().forEach(id -> lines.add(new VmLine(page.revision(), id, null)));
        } else {
            mContext.count(GossipEvent.IMPLAUSIBLE_VM_LIST);
        }
        long before = mTable.revision();
        notifyListener(mTable.apply(sinceRevision, page.revision(), lines));
        if (mTable.revision() > before) {
            mAnnounce.accept(null);
        }
        return true;
    }

    void tick(long nowMillis) {
        List<Link> ahead =
                mContext.links()
                        .where(
                                link ->
                                        link.established()
                                                && link.mSummary.vmRevision() > mTable.revision());
        Link chosen = mContext.pick(ahead);
        if (chosen != null) {
            pullFrom(chosen, nowMillis);
        }
    }

    private boolean areRemovalsPlausible(int removed, long nowMillis) {
        // An empty or truncated list looks like the removal of most VMs. Applying it would remove
        // all targets for all callers at once. VMs that were really removed become unreachable.
        if (removed == 0) {
            return true;
        }
        if (nowMillis - mWindowStartMillis > REMOVAL_WINDOW_MILLIS) {
            mWindowStartMillis = nowMillis;
            mRemovedInWindow = 0;
        }
        int allowed = Math.max(MIN_ALLOWED_REMOVALS, mTable.listedCount() / REMOVAL_SHARE_DIVISOR);
        if (mRemovedInWindow + removed > allowed) {
            return false;
        }
        mRemovedInWindow += removed;
        return true;
    }

    private void pullFrom(Link link, long nowMillis) {
        if (!link.established() || nowMillis < mPullDeadlineMillis) {
            return;
        }
        mPullDeadlineMillis = nowMillis + PULL_TIMEOUT_MILLIS;
        mTransport.send(link.mId, new PeerMessage.VmsRequest(mTable.revision()));
    }

    private void notifyListener(List<VmLine> changed) {
        List<String> evicted = mTable.evictOldRemovals();
        if (!changed.isEmpty() || !evicted.isEmpty()) {
            mListener.onVmLines(changed, evicted);
        }
    }
}
