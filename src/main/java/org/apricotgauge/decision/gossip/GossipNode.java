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

    private static final long CONFIRMATION_TIMEOUT_MILLIS = 5_000;

    private final NodeIdentity mIdentity;
    private final GossipContext mContext;
    private final PeerTransport<H> mTransport;
    private final GossipListener<H> mListener;
    private final Dissemination<H> mDissemination;
    private final VmSync mVms;
    private final ItemGossip mItems;
    private final Announcer mAnnouncer;
    private final PeerFailureDetector mFailureDetector;
    private final MembershipView mMembership;
    private final LinkManager mLinks;
    private final StalenessGate mStalenessGate;
    private final Set<String> mRespondingDomains = new HashSet<>();
    private long mHighestKnownPosition;
    private long mResumeSequence;

    /** Creates a node that knows nothing yet. */
    public GossipNode(
            NodeIdentity identity,
            GossipSettings settings,
            ConfigFold<H> fold,
            PeerTransport<H> port,
            GossipListener<H> listener,
            long seed,
            long nowMillis) {
        mIdentity = Checks.notNull("identity", identity);
        mTransport = Checks.notNull("port", port);
        mListener = Checks.notNull("listener", listener);
        SplittableRandom random = new SplittableRandom(seed);
        mContext =
                new GossipContext(
                        identity.vm(), settings, new LinkTable(), random, listener::onEvent);
        LocalHealthMultiplier health = new LocalHealthMultiplier();
        mDissemination = new Dissemination<>(mContext, port, fold, new DisseminationListener());
        mVms = new VmSync(mContext, port, this::onVmLines, this::announceSummary);
        mItems = new ItemGossip(mContext, port, this::onItem, nowMillis);
        mAnnouncer = new Announcer(mContext, mItems, identity.incarnation());
        mFailureDetector = new PeerFailureDetector(mContext, port, health, this::publishSuspicion);
        mMembership =
                new MembershipView(
                        mContext, mItems, mFailureDetector, mAnnouncer, new MembershipListener());
        mLinks =
                new LinkManager(
                        identity,
                        mContext,
                        port,
                        mAnnouncer,
                        health,
                        mFailureDetector,
                        mMembership::view,
                        new LinkListener());
        mStalenessGate =
                new StalenessGate(
                        settings.pauseThresholdMillis(), CONFIRMATION_TIMEOUT_MILLIS, nowMillis);
        mAnnouncer.announceAlive(nowMillis);
    }

    /** Returns the history in force. */
    public H history() {
        return mDissemination.replica().history();
    }

    /** Returns what is known of the VMs. */
    public VmView view() {
        return mMembership.view();
    }

    /** Returns the guard that tells whether old state may be acted on. */
    public StalenessGate stalenessGate() {
        return mStalenessGate;
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
    public StateSummary summary() {
        Replica<H> replica = mDissemination.replica();
        return new StateSummary(
                replica.position(), replica.digest(), mVms.revision(), mItems.store().hash());
    }

    /** Returns the highest log position that any peer said it has. */
    public long highestKnownPosition() {
        return mHighestKnownPosition;
    }

    /** Returns from how many failure domains a peer has told what it holds. */
    public int respondingDomains() {
        return mRespondingDomains.size();
    }

    /** Returns in how many failure domains, the own one too, other nodes are known. */
    public int knownDomains() {
        return mMembership.knownDomains();
    }

    /** Returns how many links to peers are established. */
    public int establishedLinks() {
        return mContext.links().count(Link::established);
    }

    /** Returns whether the node said that it lost the platform, and did not take it back. */
    public boolean lostPlatform(String vm) {
        return Announcer.reportsPlatformLost(mItems.store().get(GossipItem.Kind.WATCH, vm, ""));
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
        link.mLastReceivedMillis = nowMillis;
        if (message instanceof PeerMessage.Hello hello) {
            mLinks.onHello(link, hello, nowMillis);
        } else if (message instanceof PeerMessage.Welcome welcome) {
            mLinks.onWelcome(link, welcome, nowMillis);
        } else if (link.established()) {
            onGossip(link, message, nowMillis);
        }
    }

    /** A snapshot was encoded. */
    public void onSnapshotEncoded(List<byte[]> chunks, long nowMillis) {
        mDissemination.snapshotServer().onEncoded(chunks, nowMillis);
    }

    /** A snapshot from a peer was read; null if it could not be. */
    public void onSnapshotDecoded(H snapshot) {
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
        mStalenessGate.onConfirmed();
    }

    /** Tells the fleet that a target on this VM is leaving, or the whole VM. */
    public void announceLeaving(String target, long nowMillis) {
        mAnnouncer.announceLeaving(Checks.notNull("target", target), nowMillis);
    }

    /** Tells the fleet that this watcher lost the platform, or has it again. */
    public void announcePlatformState(boolean lost, long nowMillis) {
        mAnnouncer.announcePlatformState(lost, nowMillis);
    }

    /** Tells the fleet a piece of evidence; a later sequence of the same key replaces it. */
    public void publishEvidence(GossipItem evidence, long nowMillis) {
        mItems.publish(evidence, nowMillis);
    }

    /** Time goes on; called about ten times a second. */
    public void tick(long nowMillis) {
        if (mStalenessGate.onTick(nowMillis)) {
            mContext.count(GossipEvent.WOKE_FROM_PAUSE);
            mItems.requireFullSync();
            // Frames that wait in the sockets were written before we woke; only the answer to a
            // heartbeat from now on counts as a confirmation.
            mResumeSequence = mLinks.lastPingSequence() + 1;
            mLinks.onResumed(nowMillis);
        }
        mFailureDetector.tick(nowMillis).forEach(mMembership::onUnreachable);
        mItems.tick(nowMillis);
        mDissemination.tick(nowMillis);
        mVms.tick(nowMillis);
        mLinks.tick(nowMillis);
    }

    private void onGossip(Link link, PeerMessage message, long nowMillis) {
        if (message instanceof PeerMessage.Ping ping) {
            onSummary(link, ping.summary(), nowMillis);
            mTransport.send(link.mId, new PeerMessage.Ack(ping.sequence(), summary()));
        } else if (message instanceof PeerMessage.Ack ack) {
            onSummary(link, ack.summary(), nowMillis);
            confirmState(ack);
        } else if (message instanceof PeerMessage.Have have) {
            onSummary(link, have.summary(), nowMillis);
        } else if (message instanceof PeerMessage.Entries entries) {
            mDissemination.onEntries(link, entries.records(), nowMillis);
        } else if (message instanceof PeerMessage.EntriesRequest request) {
            mDissemination.onEntriesRequest(link, request);
        } else if (message instanceof PeerMessage.SnapshotRequest request) {
            mDissemination.snapshotServer().serve(link.mId, request.position(), request.chunk());
        } else if (message instanceof PeerMessage.SnapshotChunk chunk) {
            mDissemination.onChunk(link, chunk, nowMillis);
        } else if (message instanceof PeerMessage.VmsRequest request) {
            mVms.onRequest(link, request.sinceRevision());
        } else if (message instanceof PeerMessage.VmChanges changes) {
            mVms.onChanges(link, changes, nowMillis);
        } else {
            onItemOrProbe(link, message, nowMillis);
        }
    }

    private void onItemOrProbe(Link link, PeerMessage message, long nowMillis) {
        if (message instanceof PeerMessage.Items items) {
            mItems.onItems(link, items, nowMillis);
        } else if (message instanceof PeerMessage.ItemsRequest) {
            mItems.onItemsRequest(link, nowMillis);
        } else if (message instanceof PeerMessage.ProbeRequest request) {
            if (mFailureDetector.onProbeRequest(link, request, nowMillis)) {
                long probe = mLinks.dial(request.vm(), Link.Role.PROBE, nowMillis);
                mFailureDetector.onProbeDialled(probe, link.mId, request.nonce());
            }
        } else if (message instanceof PeerMessage.ProbeResult result) {
            mFailureDetector.onProbeResult(result, nowMillis);
        }
    }

    private void onSummary(Link link, StateSummary summary, long nowMillis) {
        onRemoteSummary(link.mRemote, summary);
        mDissemination.onSummary(link, summary, nowMillis);
        mVms.onSummary(link, summary, nowMillis);
        mItems.onSummary(link, summary, nowMillis);
    }

    private void onRemoteSummary(Vm remote, StateSummary summary) {
        mHighestKnownPosition = Math.max(mHighestKnownPosition, summary.position());
        mRespondingDomains.add(remote.failureDomain());
    }

    private void confirmState(PeerMessage.Ack ack) {
        boolean itemsTaken =
                ack.summary().itemsHash() == mItems.store().hash() || mItems.fullSyncReceived();
        boolean asked = ack.sequence() >= mResumeSequence;
        if (asked && itemsTaken && ack.summary().position() <= position()) {
            mStalenessGate.onConfirmed();
        }
    }

    private void onItem(GossipItem item, long nowMillis) {
        switch (item.kind()) {
            case LIVENESS -> mMembership.onLiveness(item, nowMillis);
            case LEAVING -> mMembership.onLeaving(item, nowMillis);
            case EVIDENCE -> mListener.onEvidence(item);
            default -> {
                return; // watch items are read where the watchers are chosen
            }
        }
    }

    private void onVmLines(List<VmLine> news, List<String> forgotten) {
        mMembership.onVmLines(news, forgotten);
    }

    private void announceSummary(Link source) {
        StateSummary summary = summary();
        for (Link link : mContext.links().established()) {
            if (link != source) {
                mTransport.send(link.mId, new PeerMessage.Have(summary));
            }
        }
    }

    private void publishSuspicion(Vm vm, long nowMillis) {
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
    private final class DisseminationListener implements Dissemination.Listener {
        @Override
        public void onHistoryAdvanced() {
            mListener.onHistory(history());
        }

        @Override
        public void announce(Link source) {
            announceSummary(source);
        }
    }

    /** What the merged view tells. */
    private final class MembershipListener implements MembershipView.Listener {
        @Override
        public void onView(VmView view) {
            mListener.onView(view);
        }

        @Override
        public void onLeaving(LeavingNotice notice) {
            mListener.onLeaving(notice);
        }
    }

    /** What the links tell. */
    private final class LinkListener implements LinkManager.Listener {
        @Override
        public StateSummary summary() {
            return GossipNode.this.summary();
        }

        @Override
        public void onRemoteSummary(Vm remote, StateSummary summary) {
            GossipNode.this.onRemoteSummary(remote, summary);
        }

        @Override
        public void onEstablished(
                Link link, long incarnation, StateSummary summary, long nowMillis) {
            mMembership.onPeerIdentified(link.mRemote, incarnation);
            sendIntroduction(link);
            onSummary(link, summary, nowMillis);
        }

        @Override
        public void onClosed(Link link) {
            mDissemination.onClosed(link);
        }

        /**
         * Tells the peer of our run, and of a suspicion against itself that we hold. Without the
         * first, a node that was restarted would pass for dead or leaving until the next full
         * exchange; without the second, one that was wrongly accused could not refute it.
         */
        private void sendIntroduction(Link link) {
            List<GossipItem> items = mAnnouncer.ownItems();
            String id = link.mRemote.id();
            GossipItem item = mItems.store().get(GossipItem.Kind.LIVENESS, id, "");
            if (item != null && item.sequence() % 2 == 1) {
                items.add(item);
            }
            if (!items.isEmpty()) {
                mTransport.send(link.mId, new PeerMessage.Items(items, false));
            }
        }
    }
}
