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
 * The state machine of one node in the gossip protocol, without I/O.
 *
 * <pre>{@code
 * GossipNode<ConfigHistory> node =
 *         new GossipNode<>(identity, GossipSettings.DEFAULT, fold, transport, listener, seed, now);
 * node.tick(now);
 * node.onMessage(link, message, now);
 * }</pre>
 *
 * <p>Not thread-safe; the caller publishes results to other threads by atomic references. Times are
 * milliseconds of one monotonic clock.
 *
 * @param <H> a folded history
 */
public final class GossipNode<H> {
    /** The protocol version that this release supports. */
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

    /** Creates a node with an empty state. */
    public GossipNode(
            NodeIdentity identity,
            GossipSettings settings,
            ConfigFold<H> fold,
            PeerTransport<H> transport,
            GossipListener<H> listener,
            long seed,
            long nowMillis) {
        mIdentity = Checks.notNull("identity", identity);
        mTransport = Checks.notNull("transport", transport);
        mListener = Checks.notNull("listener", listener);
        SplittableRandom random = new SplittableRandom(seed);
        mContext =
                new GossipContext(
                        identity.vm(), settings, new LinkTable(), random, listener::onEvent);
        LocalHealthMultiplier healthMultiplier = new LocalHealthMultiplier();
        mDissemination =
                new Dissemination<>(mContext, transport, fold, new DisseminationListener());
        mVms = new VmSync(mContext, transport, this::onVmLines, this::announceSummary);
        mItems = new ItemGossip(mContext, transport, this::onItem, nowMillis);
        mAnnouncer = new Announcer(mContext, mItems, identity.incarnation());
        mFailureDetector =
                new PeerFailureDetector(
                        mContext, transport, healthMultiplier, this::publishSuspicion);
        mMembership =
                new MembershipView(
                        mContext, mItems, mFailureDetector, mAnnouncer, new MembershipListener());
        mLinks =
                new LinkManager(
                        identity,
                        mContext,
                        transport,
                        mAnnouncer,
                        healthMultiplier,
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

    /** Returns the view of the VMs. */
    public VmView view() {
        return mMembership.view();
    }

    /** Returns the gate that decides whether cached state may be acted on after a pause. */
    public StalenessGate stalenessGate() {
        return mStalenessGate;
    }

    /** Returns the log position of the history in force. */
    public long position() {
        return mDissemination.replica().position();
    }

    /** Returns the revision of the VM list. */
    public long vmRevision() {
        return mVms.revision();
    }

    /** Returns a summary of the state of this node. */
    public StateSummary summary() {
        Replica<H> replica = mDissemination.replica();
        return new StateSummary(
                replica.position(), replica.digest(), mVms.revision(), mItems.store().hash());
    }

    /** Returns the highest log position that any peer has reported. */
    public long highestKnownPosition() {
        return mHighestKnownPosition;
    }

    /** Returns the number of failure domains from which a peer has sent its summary. */
    public int respondingDomains() {
        return mRespondingDomains.size();
    }

    /** Returns the number of failure domains, including the local one, with other known nodes. */
    public int knownDomains() {
        return mMembership.knownDomains();
    }

    /** Returns the number of established links to peers. */
    public int establishedLinks() {
        return mContext.links().count(Link::established);
    }

    /** Returns whether the latest report of the node is that it lost the platform. */
    public boolean lostPlatform(String vm) {
        return Announcer.reportsPlatformLost(mItems.store().get(GossipItem.Kind.WATCH, vm, ""));
    }

    /** Called when a link from a peer was accepted. */
    public void onAccepted(long link, long nowMillis) {
        mLinks.onAccepted(link, nowMillis);
    }

    /** Called when a dial succeeded. */
    public void onConnected(long link) {
        mLinks.onConnected(link);
    }

    /** Called when a link was closed, or a dial failed. */
    public void onClosed(long link, long nowMillis) {
        mLinks.onClosed(link, nowMillis);
    }

    /** Called when a message was received. */
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

    /** Called when a snapshot was encoded. */
    public void onSnapshotEncoded(List<byte[]> chunks, long nowMillis) {
        mDissemination.snapshotServer().onEncoded(chunks, nowMillis);
    }

    /** Called when a snapshot from a peer was decoded; null if it could not be. */
    public void onSnapshotDecoded(H snapshot) {
        mDissemination.onDecoded(snapshot, null);
    }

    /**
     * Applies a page of the platform's log.
     *
     * @return whether the page is at least as recent as the local history, and consistent with it
     */
    public boolean onPublished(LogPage page) {
        if (page.head() < position()) {
            mContext.count(GossipEvent.STALE_PLATFORM);
            return false;
        }
        return mDissemination.onPublished(page.entries());
    }

    /** Adopts a snapshot from the platform if it is ahead of the local history. */
    public void onPublishedSnapshot(H snapshot, String digest) {
        mDissemination.onDecoded(snapshot, digest);
    }

    /**
     * Applies a page of the platform's VM list.
     *
     * @return whether the page is at least as recent as the local list
     */
    public boolean onPublishedVms(long sinceRevision, VmPage page, long nowMillis) {
        return mVms.onPublished(sinceRevision, page, nowMillis);
    }

    /** Called when the platform responded to a request sent after the last pause. */
    public void onPlatformConfirmed() {
        mStalenessGate.onConfirmed();
    }

    /** Announces to the fleet that a target on this VM, or the whole VM, is leaving. */
    public void announceLeaving(String target, long nowMillis) {
        mAnnouncer.announceLeaving(Checks.notNull("target", target), nowMillis);
    }

    /** Announces to the fleet that this watcher lost or restored its connection to the platform. */
    public void announcePlatformState(boolean lost, long nowMillis) {
        mAnnouncer.announcePlatformState(lost, nowMillis);
    }

    /** Publishes an evidence item; a later sequence of the same key replaces it. */
    public void publishEvidence(GossipItem evidence, long nowMillis) {
        mItems.publish(evidence, nowMillis);
    }

    /** Advances timers; called about ten times per second. */
    public void tick(long nowMillis) {
        if (mStalenessGate.onTick(nowMillis)) {
            mContext.count(GossipEvent.WOKE_FROM_PAUSE);
            mItems.requireFullSync();
            // Frames buffered in the sockets were written during the pause; only the response to a
            // heartbeat sent from now on counts as a confirmation.
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
        boolean hasItems =
                ack.summary().itemsHash() == mItems.store().hash() || mItems.fullSyncReceived();
        boolean isSentAfterResume = ack.sequence() >= mResumeSequence;
        if (isSentAfterResume && hasItems && ack.summary().position() <= position()) {
            mStalenessGate.onConfirmed();
        }
    }

    private void onItem(GossipItem item, long nowMillis) {
        switch (item.kind()) {
            case LIVENESS -> mMembership.onLiveness(item, nowMillis);
            case LEAVING -> mMembership.onLeaving(item, nowMillis);
            case EVIDENCE -> mListener.onEvidence(item);
            default -> {
                return; // the watcher election reads the watch items
            }
        }
    }

    private void onVmLines(List<VmLine> changed, List<String> evicted) {
        mMembership.onVmLines(changed, evicted);
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
        GossipItem suspicion =
                new GossipItem(
                        GossipItem.Kind.LIVENESS,
                        vm.id(),
                        "",
                        sequence,
                        GossipItem.MAX_LIFETIME_MILLIS,
                        new byte[0]);
        mItems.publish(suspicion, nowMillis);
    }

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
         * Sends the items of this run, and a stored suspicion of the peer if there is one. Without
         * the former, a restarted node would appear dead or leaving until the next full exchange;
         * without the latter, a wrongly suspected peer could not refute the suspicion.
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
