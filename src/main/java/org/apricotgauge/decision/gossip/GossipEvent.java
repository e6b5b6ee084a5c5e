package org.apricotgauge.decision.gossip;

/** What the control plane counts; each name is also the name of a counter. */
public enum GossipEvent {
    /** A body or digest at a known position differs from ours; ours was kept. */
    HISTORY_CONFLICT(true),
    /** A record needs rules that this release does not know; the node stays where it is. */
    RECORD_UNREADABLE(true),
    /** The platform or a peer showed an older state than ours; ours was kept. */
    STALE_PLATFORM(false),
    /** A snapshot could not be read or did not match its digest. */
    SNAPSHOT_REFUSED(true),
    /** A snapshot was adopted. */
    SNAPSHOT_ADOPTED(false),
    /** A link had no heartbeat within the bound and was closed. */
    LINK_SILENT(false),
    /** A dial failed or got no welcome in time. */
    DIAL_FAILED(false),
    /** A peer refused the link because it has enough. */
    DIAL_REFUSED(false),
    /** A peer speaks no common protocol version, or is of another site. */
    INCOMPATIBLE_PEER(true),
    /** A peer that we cannot reach is reached by others: the path is at fault, not the peer. */
    PATH_FAULT(false),
    /** Nobody whom we asked reaches a peer: it is suspected. */
    SUSPICION_RAISED(false),
    /** We were suspected, and refuted it. */
    SUSPICION_REFUTED(false),
    /** The process had been paused and does not act on old state until it is confirmed. */
    WOKE_FROM_PAUSE(true),
    /** A list of VMs took off too many at once; the removals were not believed. */
    IMPLAUSIBLE_VM_LIST(true),
    /** A gossip item was dropped because of a bound. */
    ITEM_DROPPED(false);

    private final boolean mLogged;

    GossipEvent(boolean logged) {
        mLogged = logged;
    }

    /** Returns whether an operator should see a log line for it. */
    public boolean logged() {
        return mLogged;
    }
}
