package org.apricotgauge.decision.gossip;

import java.util.List;
import java.util.function.Supplier;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Vm;

/** Manages the lifecycle of links: dialling, handshake, heartbeats, timeouts, disconnection. */
final class LinkManager {
    private static final int SAMPLE_SIZE = 8;

    /** Provides the local summary and receives the changes of links. */
    interface Listener {
        StateSummary summary();

        /** Called with the summary of a peer, whether or not a link to it is established. */
        void onRemoteSummary(Vm remote, StateSummary summary);

        void onEstablished(Link link, long incarnation, StateSummary summary, long nowMillis);

        void onClosed(Link link);
    }

    private final NodeIdentity mIdentity;
    private final GossipContext mContext;
    private final PeerTransport<?> mTransport;
    private final Announcer mAnnouncer;
    private final LocalHealthMultiplier mHealthMultiplier;
    private final PeerFailureDetector mFailureDetector;
    private final Neighbours mNeighbours;
    private final Supplier<VmView> mView;
    private final Listener mListener;
    private long mPingSequence;

    LinkManager(
            NodeIdentity identity,
            GossipContext context,
            PeerTransport<?> transport,
            Announcer announcer,
            LocalHealthMultiplier healthMultiplier,
            PeerFailureDetector failureDetector,
            Supplier<VmView> view,
            Listener listener) {
        mIdentity = identity;
        mContext = context;
        mTransport = transport;
        mAnnouncer = announcer;
        mHealthMultiplier = healthMultiplier;
        mFailureDetector = failureDetector;
        mView = view;
        mListener = listener;
        mNeighbours =
                new Neighbours(
                        context,
                        view,
                        failureDetector,
                        identity.seeds(),
                        (vm, address, nowMillis) ->
                                dial(vm, address, Link.Role.NEIGHBOUR, nowMillis));
    }

    /** Returns the sequence of the last heartbeat that was sent. */
    long lastPingSequence() {
        return mPingSequence;
    }

    void tick(long nowMillis) {
        for (Link link : mContext.links().all()) {
            checkTimeouts(link, nowMillis);
        }
        Link surplus = mNeighbours.surplusLink(nowMillis);
        Link replaced = surplus == null ? mNeighbours.linkToReplace(nowMillis) : surplus;
        if (replaced != null) {
            close(replaced);
        }
        if (!mAnnouncer.isVmLeaving()) {
            mNeighbours.dialMissing(nowMillis);
        }
    }

    /**
     * Restarts the timeouts of all links and pings every peer after a pause, since this process was
     * unresponsive and not its peers.
     */
    void onResumed(long nowMillis) {
        mHealthMultiplier.onFailure();
        for (Link link : mContext.links().all()) {
            link.mLastReceivedMillis = nowMillis;
            ping(link, nowMillis);
        }
    }

    void onAccepted(long id, long nowMillis) {
        Link link = new Link(id, Link.Role.NEIGHBOUR, Link.State.HANDSHAKE, null, nowMillis);
        mContext.links().add(link);
    }

    void onConnected(long id) {
        Link link = mContext.links().get(id);
        if (link == null) {
            return;
        }
        link.mState = Link.State.HANDSHAKE;
        PeerMessage.Purpose purpose =
                link.mRole == Link.Role.PROBE
                        ? PeerMessage.Purpose.PROBE
                        : PeerMessage.Purpose.NEIGHBOUR;
        mTransport.send(
                id,
                new PeerMessage.Hello(
                        GossipNode.PROTOCOL,
                        GossipNode.PROTOCOL,
                        mIdentity.site(),
                        purpose,
                        mIdentity.vm(),
                        mAnnouncer.incarnation(),
                        mListener.summary()));
    }

    void onClosed(long id, long nowMillis) {
        Link link = mContext.links().remove(id);
        if (link != null) {
            mListener.onClosed(link);
            onDisconnected(link, nowMillis);
        }
    }

    void onHello(Link link, PeerMessage.Hello hello, long nowMillis) {
        boolean compatible =
                hello.site().equals(mIdentity.site())
                        && hello.minProtocol() <= GossipNode.PROTOCOL
                        && hello.maxProtocol() >= GossipNode.PROTOCOL;
        if (link.dialled() || link.mState != Link.State.HANDSHAKE || !compatible) {
            mContext.count(GossipEvent.INCOMPATIBLE_PEER);
            close(link);
            return;
        }
        boolean probe = hello.purpose() == PeerMessage.Purpose.PROBE;
        boolean isSelf = hello.vm().id().equals(mIdentity.vm().id());
        int inbound = mContext.links().count(l -> l.established() && !l.dialled());
        boolean hasRoom = inbound < mContext.settings().maxInboundLinks();
        boolean accepted = !isSelf && (probe || hasRoom);
        sendWelcome(link, accepted);
        // The dialler closes a probe or a rejected link once it has received the response;
        // otherwise the handshake timeout closes it.
        if (!accepted || probe) {
            return;
        }
        closeOlderLinkFrom(hello.vm());
        establish(link, hello.vm(), hello.incarnation(), hello.summary(), nowMillis);
    }

    void onWelcome(Link link, PeerMessage.Welcome welcome, long nowMillis) {
        if (!link.dialled() || link.mState != Link.State.HANDSHAKE) {
            close(link);
            return;
        }
        mListener.onRemoteSummary(welcome.vm(), welcome.summary());
        if (link.mRole == Link.Role.PROBE) {
            mFailureDetector.onProbeEnded(link.mId, true);
            close(link);
            return;
        }
        mNeighbours.onHints(welcome.sample());
        if (!welcome.accepted()) {
            mContext.count(GossipEvent.DIAL_REFUSED);
            mFailureDetector.avoid(welcome.vm().id(), nowMillis);
            close(link);
            return;
        }
        establish(link, welcome.vm(), welcome.incarnation(), welcome.summary(), nowMillis);
    }

    long dial(Vm vm, Link.Role role, long nowMillis) {
        return dial(vm, new Address(vm.host(), vm.peerPort()), role, nowMillis);
    }

    private long dial(Vm vm, Address address, Link.Role role, long nowMillis) {
        long id = mContext.links().nextDialledId();
        mContext.links().add(new Link(id, role, Link.State.DIALLING, vm, nowMillis));
        mTransport.dial(id, address);
        return id;
    }

    private void checkTimeouts(Link link, long nowMillis) {
        GossipSettings settings = mContext.settings();
        if (!link.established()) {
            long timeoutMillis = mHealthMultiplier.scale(settings.dialTimeoutMillis());
            if (nowMillis - link.mOpenedAtMillis > timeoutMillis) {
                close(link);
                onDisconnected(link, nowMillis);
            }
            return;
        }
        if (nowMillis - link.mLastReceivedMillis
                > mHealthMultiplier.scale(settings.linkTimeoutMillis())) {
            // A middlebox between the two ends may have lost the state of this connection while new
            // connections work. TCP would report this only after minutes; until then the peer would
            // appear dead and its updates would be missing. A new connection shows immediately
            // whether the peer or only the connection failed.
            mContext.count(GossipEvent.LINK_SILENT);
            mHealthMultiplier.onFailure();
            close(link);
            onDisconnected(link, nowMillis);
            return;
        }
        boolean due = nowMillis - link.mLastPingMillis >= settings.heartbeatMillis();
        if (link.dialled() && due) {
            ping(link, nowMillis);
        }
    }

    private void ping(Link link, long nowMillis) {
        if (link.established()) {
            link.mLastPingMillis = nowMillis;
            mTransport.send(link.mId, new PeerMessage.Ping(++mPingSequence, mListener.summary()));
        }
    }

    private void close(Link link) {
        mContext.links().remove(link.mId);
        mListener.onClosed(link);
        mTransport.close(link.mId);
    }

    /** Determines whether the peer of a closed link is unreachable, or only the link failed. */
    private void onDisconnected(Link link, long nowMillis) {
        Vm remote = link.mRemote;
        boolean isExpected =
                remote == null || mView.get().leaving(remote.id()) || mAnnouncer.isVmLeaving();
        if (link.mState == Link.State.ESTABLISHED) {
            Link.Role role = link.dialled() ? Link.Role.NEIGHBOUR : Link.Role.PROBE;
            if (!isExpected && !mContext.links().linkedTo(remote.id())) {
                dial(remote, role, nowMillis);
            }
            return;
        }
        if (!link.dialled()) {
            return;
        }
        mContext.count(GossipEvent.DIAL_FAILED);
        boolean isForOther =
                link.mRole == Link.Role.PROBE && mFailureDetector.onProbeEnded(link.mId, false);
        if (!isForOther && !isExpected) {
            mFailureDetector.onUnreachable(remote, nowMillis);
        }
    }

    private void sendWelcome(Link link, boolean accepted) {
        List<Vm> sample = mNeighbours.sample(SAMPLE_SIZE);
        mTransport.send(
                link.mId,
                new PeerMessage.Welcome(
                        GossipNode.PROTOCOL,
                        accepted,
                        mIdentity.vm(),
                        mAnnouncer.incarnation(),
                        mListener.summary(),
                        sample));
    }

    private void closeOlderLinkFrom(Vm vm) {
        // A peer dials again when its old connection timed out; on this side the old connection may
        // still look healthy, and would count against the limit on inbound links.
        for (Link old : mContext.links().where(l -> l.established() && !l.dialled())) {
            if (old.mRemote.id().equals(vm.id())) {
                close(old);
            }
        }
    }

    private void establish(
            Link link, Vm remote, long incarnation, StateSummary summary, long nowMillis) {
        link.mRemote = remote;
        link.mState = Link.State.ESTABLISHED;
        mHealthMultiplier.onSuccess();
        mListener.onEstablished(link, incarnation, summary, nowMillis);
    }
}
