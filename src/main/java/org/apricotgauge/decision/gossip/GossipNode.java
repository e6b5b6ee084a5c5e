package org.apricotgauge.decision.gossip;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Vm;
import org.apricotgauge.platform.LogPage;
import org.apricotgauge.platform.VmPage;

/**
 * One node's part in the control plane, as a state machine without I/O.
 *
 * <pre>{@code
 * GossipNode<ConfigHistory> node =
 *         new GossipNode<>(identity, GossipSettings.DEFAULT, fold, port, listener, seed, now);
 * node.tick(now);
 * node.onMessage(link, message, now);
 * }</pre>
 *
 * <p>Not safe for use by several threads; whoever drives it hands results over by atomic reference.
 * Times are milliseconds of one monotonic clock.
 *
 * @param <H> a folded history
 */
public final class GossipNode<H> {
    /** The protocol version of this release. */
    public static final int PROTOCOL = 1;

    private static final long CONFIRM_MILLIS = 5_000;

    private final NodeIdentity mIdentity;
    private final GossipContext mContext;
    private final PeerPort<H> mPort;
    private final GossipListener<H> mListener;
    private final Dissemination<H> mDissemination;
    private final VmSync mVms;
    private final ItemGossip mItems;
    private final Announcer mAnnouncer;
    private final Liveness mLiveness;
    private final FleetView mFleet;
    private final LinkKeeper mLinks;
    private final FreshnessGuard mFreshness;
    private final Set<String> mDomainsHeard = new HashSet<>();
    private long mHighestHeard;
    private long mWakeSequence;

    /** Creates a node that knows nothing yet. */
    public GossipNode(
            NodeIdentity identity,
            GossipSettings settings,
            ConfigFold<H> fold,
            PeerPort<H> port,
            GossipListener<H> listener,
            long seed,
            long nowMillis) {
        mIdentity = Checks.notNull("identity", identity);
        mPort = Checks.notNull("port", port);
        mListener = Checks.notNull("listener", listener);
        SplittableRandom random = new SplittableRandom(seed);
        mContext =
                new GossipContext(
                        identity.vm(), settings, new LinkTable(), random, listener::onEvent);
        LocalHealth health = new LocalHealth();
        mDissemination = new Dissemination<>(mContext, port, fold, new HistoryEvents());
        mVms = new VmSync(mContext, port, this::onLines, this::announceAll);
        mItems = new ItemGossip(mContext, port, this::onItem, nowMillis);
        mAnnouncer = new Announcer(mContext, mItems, identity.incarnation());
        mLiveness = new Liveness(mContext, port, health, this::accuse);
        mFleet = new FleetView(mContext, mItems, mLiveness, mAnnouncer, new ViewEvents());
        mLinks =
                new LinkKeeper(
                        identity,
                        mContext,
                        port,
                        mAnnouncer,
                        health,
                        mLiveness,
                        mFleet::view,
                        new LinkEvents());
        mFreshness = new FreshnessGuard(settings.pauseMillis(), CONFIRM_MILLIS, nowMillis);
        mAnnouncer.alive(nowMillis);
    }

    /** Returns the history in force. */
    public H history() {
        return mDissemination.replica().history();
    }

    /** Returns what is known of the VMs. */
    public LiveView view() {
        return mFleet.view();
    }

    /** Returns the guard that tells whether old state may be acted on. */
    public FreshnessGuard freshness() {
        return mFreshness;
    }

    /** Returns the log position of the history in force. */
    public long position() {
        return mDissemination.replica().position();
    }

    /** Returns the revision of the list of VMs. */
    public long vmRevision() {
        return mVms.revision();
    }

    /** Returns what this node holds, in one line. */
    public Summary summary() {
        Replica<H> replica = mDissemination.replica();
        return new Summary(
                replica.position(), replica.digest(), mVms.revision(), mItems.store().hash());
    }

    /** Returns the highest log position that any peer said it has. */
    public long highestHeard() {
        return mHighestHeard;
    }

    /** Returns from how many failure domains a peer has told what it holds. */
    public int domainsHeard() {
        return mDomainsHeard.size();
    }

    /** Returns in how many failure domains, the own one too, other nodes are known. */
    public int domainsKnown() {
        return mFleet.domainsKnown();
    }

    /** Returns how many links to peers are established. */
    public int links() {
        return mContext.links().count(Link::established);
    }

    /** Returns whether the node said that it lost the platform, and did not take it back. */
    public boolean lostPlatform(String vm) {
        return Announcer.lost(mItems.store().get(GossipItem.Kind.WATCH, vm, ""));
    }

    /** A peer dialled us. */
    public void onAccepted(long link, long nowMillis) {
        mLinks.onAccepted(link, nowMillis);
    }

    /** A dial got through. */
    public void onConnected(long link) {
        mLinks.onConnected(link);
    }

    /** A link ended, or a dial failed. */
    public void onClosed(long link, long nowMillis) {
        mLinks.onClosed(link, nowMillis);
    }

    /** A message came in. */
    public void onMessage(long id, PeerMessage message, long nowMillis) {
        Link link = mContext.links().get(id);
        if (link == null) {
            return;
        }
        link.mLastHeardMillis = nowMillis;
        if (message instanceof PeerMessage.Hello hello) {
            mLinks.onHello(link, hello, nowMillis);
        } else if (message instanceof PeerMessage.Welcome welcome) {
            mLinks.onWelcome(link, welcome, nowMillis);
        } else if (link.established()) {
            onGossip(link, message, nowMillis);
        }
    }

    /** A snapshot was encoded. */
    public void onEncoded(List<byte[]> chunks, long nowMillis) {
        mDissemination.donor().onEncoded(chunks, nowMillis);
    }

    /** A snapshot from a peer was read; null if it could not be. */
    public void onDecoded(H snapshot) {
        mDissemination.onDecoded(snapshot, null);
    }

    /**
     * The platform showed a part of the log.
     *
     * @return whether it was as new as what we have, and of the same history
     */
    public boolean onPublished(LogPage page) {
        if (page.head() < position()) {
            mContext.count(GossipEvent.STALE_PLATFORM);
            return false;
        }
        return mDissemination.onPublished(page.entries());
    }

    /** The platform showed a snapshot; it is adopted if it is ahead of us. */
    public void onPublishedSnapshot(H snapshot, String digest) {
        mDissemination.onDecoded(snapshot, digest);
    }

    /**
     * The platform showed a part of the list of VMs.
     *
     * @return whether it was as new as what we have
     */
    public boolean onPublishedVms(long sinceRevision, VmPage page, long nowMillis) {
        return mVms.onPublished(sinceRevision, page, nowMillis);
    }

    /** The platform answered a call that was put after the last waking. */
    public void onPlatformConfirmed() {
        mFreshness.onConfirmed();
    }

    /** Tells the fleet that a target on this VM is leaving, or the whole VM. */
    public void announceLeaving(String target, long nowMillis) {
        mAnnouncer.leaving(Checks.notNull("target", target), nowMillis);
    }

    /** Tells the fleet that this watcher lost the platform, or has it again. */
    public void announceWatch(boolean lost, long nowMillis) {
        mAnnouncer.watch(lost, nowMillis);
    }

    /** Tells the fleet a piece of evidence; a later sequence of the same key replaces it. */
    public void publishEvidence(GossipItem evidence, long nowMillis) {
        mItems.publish(evidence, nowMillis);
    }

    /** Time goes on; called about ten times a second. */
    public void tick(long nowMillis) {
        if (mFreshness.onTick(nowMillis)) {
            mContext.count(GossipEvent.WOKE_FROM_PAUSE);
            mItems.forgetSync();
            // Frames that wait in the sockets were written before we woke; only the answer to a
            // heartbeat from now on counts as a confirmation.
            mWakeSequence = mLinks.sequence() + 1;
            mLinks.onWoke(nowMillis);
        }
        mLiveness.tick(nowMillis).forEach(mFleet::onUnreachable);
        mItems.tick(nowMillis);
        mDissemination.tick(nowMillis);
        mVms.tick(nowMillis);
        mLinks.tick(nowMillis);
    }

    private void onGossip(Link link, PeerMessage message, long nowMillis) {
        if (message instanceof PeerMessage.Ping ping) {
            onSummary(link, ping.summary(), nowMillis);
            mPort.send(link.mId, new PeerMessage.Ack(ping.sequence(), summary()));
        } else if (message instanceof PeerMessage.Ack ack) {
            onSummary(link, ack.summary(), nowMillis);
            confirm(ack);
        } else if (message instanceof PeerMessage.Have have) {
            onSummary(link, have.summary(), nowMillis);
        } else if (message instanceof PeerMessage.Entries entries) {
            mDissemination.onEntries(link, entries.records(), nowMillis);
        } else if (message instanceof PeerMessage.EntriesRequest request) {
            mDissemination.onEntriesRequest(link, request);
        } else if (message instanceof PeerMessage.SnapshotRequest request) {
            mDissemination.donor().serve(link.mId, request.position(), request.chunk());
        } else if (message instanceof PeerMessage.SnapshotChunk chunk) {
            mDissemination.onChunk(link, chunk, nowMillis);
        } else if (message instanceof PeerMessage.VmsRequest request) {
            mVms.onRequest(link, request.sinceRevision());
        } else if (message instanceof PeerMessage.VmChanges changes) {
            mVms.onChanges(link, changes, nowMillis);
        } else {
            onFleetNews(link, message, nowMillis);
        }
    }

    private void onFleetNews(Link link, PeerMessage message, long nowMillis) {
        if (message instanceof PeerMessage.Items items) {
            mItems.onItems(link, items, nowMillis);
        } else if (message instanceof PeerMessage.ItemsRequest) {
            mItems.onItemsRequest(link, nowMillis);
        } else if (message instanceof PeerMessage.ProbeRequest request) {
            if (mLiveness.onProbeRequest(link, request, nowMillis)) {
                long probe = mLinks.dial(request.vm(), Link.Role.PROBE, nowMillis);
                mLiveness.onProbeDialled(probe, link.mId, request.nonce());
            }
        } else if (message instanceof PeerMessage.ProbeResult result) {
            mLiveness.onProbeResult(result, nowMillis);
        }
    }

    private void onSummary(Link link, Summary summary, long nowMillis) {
        onHeard(link.mRemote, summary);
        mDissemination.onSummary(link, summary, nowMillis);
        mVms.onSummary(link, summary, nowMillis);
        mItems.onSummary(link, summary, nowMillis);
    }

    private void onHeard(Vm remote, Summary summary) {
        mHighestHeard = Math.max(mHighestHeard, summary.position());
        mDomainsHeard.add(remote.failureDomain());
    }

    private void confirm(PeerMessage.Ack ack) {
        boolean itemsTaken = ack.summary().itemsHash() == mItems.store().hash() || mItems.synced();
        boolean asked = ack.sequence() >= mWakeSequence;
        if (asked && itemsTaken && ack.summary().position() <= position()) {
            mFreshness.onConfirmed();
        }
    }

    private void onItem(GossipItem item, long nowMillis) {
        switch (item.kind()) {
            case LIVENESS -> mFleet.onLiveness(item, nowMillis);
            case LEAVING -> mFleet.onLeaving(item, nowMillis);
            case EVIDENCE -> mListener.onEvidence(item);
            default -> {
                return; // watch items are read where the watchers are chosen
            }
        }
    }

    private void onLines(List<VmLine> news, List<String> forgotten) {
        mFleet.onLines(news, forgotten);
    }

    private void announceAll(Link source) {
        Summary summary = summary();
        for (Link link : mContext.links().established()) {
            if (link != source) {
                mPort.send(link.mId, new PeerMessage.Have(summary));
            }
        }
    }

    private void accuse(Vm vm, long nowMillis) {
        long sequence = 2 * view().incarnation(vm.id()) + 1;
        GossipItem accusation =
                new GossipItem(
                        GossipItem.Kind.LIVENESS,
                        vm.id(),
                        "",
                        sequence,
                        GossipItem.MAX_LIFETIME_MILLIS,
                        new byte[0]);
        mItems.publish(accusation, nowMillis);
    }

    /** What the dissemination tells. */
    private final class HistoryEvents implements Dissemination.Listener {
        @Override
        public void onAdvanced() {
            mListener.onHistory(history());
        }

        @Override
        public void announce(Link source) {
            announceAll(source);
        }
    }

    /** What the merged view tells. */
    private final class ViewEvents implements FleetView.Listener {
        @Override
        public void onView(LiveView view) {
            mListener.onView(view);
        }

        @Override
        public void onLeaving(LeavingNotice notice) {
            mListener.onLeaving(notice);
        }
    }

    /** What the links tell. */
    private final class LinkEvents implements LinkKeeper.Listener {
        @Override
        public Summary summary() {
            return GossipNode.this.summary();
        }

        @Override
        public void onHeard(Vm remote, Summary summary) {
            GossipNode.this.onHeard(remote, summary);
        }

        @Override
        public void onEstablished(Link link, long incarnation, Summary summary, long nowMillis) {
            mFleet.onMet(link.mRemote, incarnation);
            introduce(link);
            onSummary(link, summary, nowMillis);
        }

        @Override
        public void onEnded(Link link) {
            mDissemination.onClosed(link);
        }

        /**
         * Tells the peer of our run, and of a suspicion against itself that we hold. Without the
         * first, a node that was restarted would pass for dead or leaving until the next full
         * exchange; without the second, one that was wrongly accused could not refute it.
         */
        private void introduce(Link link) {
            List<GossipItem> items = mAnnouncer.statements();
            String id = link.mRemote.id();
            GossipItem item = mItems.store().get(GossipItem.Kind.LIVENESS, id, "");
            if (item != null && item.sequence() % 2 == 1) {
                items.add(item);
            }
            if (!items.isEmpty()) {
                mPort.send(link.mId, new PeerMessage.Items(items, false));
            }
        }
    }
}
