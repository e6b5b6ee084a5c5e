package org.apricotgauge.decision.gossip;

import java.util.List;
import java.util.function.Supplier;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Vm;

/** The life of links: dial, greet, heartbeat, silence, loss. */
final class LinkManager {
    private static final int SAMPLE_SIZE = 8;

    /** Told what happens to links. */
    interface Listener {
        StateSummary summary();

        /** A peer, linked or not, said what it holds. */
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
            PeerTransport<?> port,
            Announcer announcer,
            LocalHealthMultiplier health,
            PeerFailureDetector liveness,
            Supplier<VmView> view,
            Listener listener) {
        mIdentity = identity;
        mContext = context;
        mTransport = port;
        mAnnouncer = announcer;
        mHealthMultiplier = health;
        mFailureDetector = liveness;
        mView = view;
        mListener = listener;
        mNeighbours =
                new Neighbours(
                        context,
                        view,
                        liveness,
                        identity.seeds(),
                        (vm, address, nowMillis) ->
                                dial(vm, address, Link.Role.NEIGHBOUR, nowMillis));
    }

    /** Returns the sequence of the last heartbeat sent. */
    long lastPingSequence() {
        return mPingSequence;
    }

    void tick(long nowMillis) {
        for (Link link : mContext.links().all()) {
            checkTimeouts(link, nowMillis);
        }
        Link surplus = mNeighbours.surplusLink(nowMillis);
        Link exchanged = surplus == null ? mNeighbours.linkToReplace(nowMillis) : surplus;
        if (exchanged != null) {
            close(exchanged);
        }
        if (!mAnnouncer.isVmLeaving()) {
            mNeighbours.dialMissing(nowMillis);
        }
    }

    /** The process woke from a pause: the silence was ours, and every peer is asked anew. */
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
        boolean self = hello.vm().id().equals(mIdentity.vm().id());
        int inbound = mContext.links().count(l -> l.established() && !l.dialled());
        boolean room = inbound < mContext.settings().maxInboundLinks();
        boolean accepted = !self && (probe || room);
        sendWelcome(link, accepted);
        // The dialler closes a probe or a refused link once it has read the answer; if it doesn't,
        // the time limit for greetings does.
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
            long limitMillis = mHealthMultiplier.scale(settings.dialTimeoutMillis());
            if (nowMillis - link.mOpenedAtMillis > limitMillis) {
                close(link);
                onDisconnected(link, nowMillis);
            }
            return;
        }
        if (nowMillis - link.mLastReceivedMillis
                > mHealthMultiplier.scale(settings.linkTimeoutMillis())) {
            // Something between the two ends may have lost track of this connection while new ones
            // work. TCP would tell after minutes; until then the peer would seem dead and its news
            // would not come. A new connection shows at once which of the two is the case.
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

    /** Finds out whether the peer of a link that ended is gone, or only the link. */
    private void onDisconnected(Link link, long nowMillis) {
        Vm remote = link.mRemote;
        boolean expected =
                remote == null || mView.get().leaving(remote.id()) || mAnnouncer.isVmLeaving();
        if (link.mState == Link.State.ESTABLISHED) {
            Link.Role role = link.dialled() ? Link.Role.NEIGHBOUR : Link.Role.PROBE;
            if (!expected && !mContext.links().linkedTo(remote.id())) {
                dial(remote, role, nowMillis);
            }
            return;
        }
        if (!link.dialled()) {
            return;
        }
        mContext.count(GossipEvent.DIAL_FAILED);
        boolean forOther =
                link.mRole == Link.Role.PROBE && mFailureDetector.onProbeEnded(link.mId, false);
        if (!forOther && !expected) {
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
        // A peer dials again when its old connection went silent; here the old one may still look
        // well, and would be counted against the bound on links.
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
