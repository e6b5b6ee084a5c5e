package org.apricotgauge.decision.gossip;

/** Events that the control plane counts; each name is also the name of a counter. */
public enum GossipEvent {
    /** A body or digest at a known position differs from the local one, which was kept. */
    HISTORY_CONFLICT(true),
    /** A record needs rules that this release doesn't support; the node stays at its position. */
    RECORD_UNREADABLE(true),
    /** The platform returned an older state than the local one, which was kept. */
    STALE_PLATFORM(false),
    /** A snapshot could not be decoded or did not match its digest. */
    SNAPSHOT_REFUSED(true),
    /** A snapshot was adopted. */
    SNAPSHOT_ADOPTED(false),
    /** A link received no frame within the timeout and was closed. */
    LINK_SILENT(false),
    /** A dial failed or its handshake timed out. */
    DIAL_FAILED(false),
    /** A peer rejected the link because it has enough links. */
    DIAL_REFUSED(false),
    /** A peer has no protocol version in common, or belongs to another site. */
    INCOMPATIBLE_PEER(true),
    /** Other nodes reach a peer that this node can't reach: the path is at fault, not the peer. */
    PATH_FAULT(false),
    /** No node that responded to a probe request reached a peer; the peer is suspected. */
    SUSPICION_RAISED(false),
    /** This node was suspected and refuted it. */
    SUSPICION_REFUTED(false),
    /** The process resumed from a pause; it doesn't act on cached state until it is confirmed. */
    WOKE_FROM_PAUSE(true),
    /** A VM list removed too many VMs at once; the removals were ignored. */
    IMPLAUSIBLE_VM_LIST(true),
    /** A gossip item was dropped because of a limit. */
    ITEM_DROPPED(false);

    private final boolean mLogged;

    GossipEvent(boolean logged) {
        mLogged = logged;
    }

    /** Returns whether the event is logged for operators. */
    public boolean logged() {
        return mLogged;
    }
}
