package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Vm;

/** State of one connection to a peer. */
final class Link {
    private static final StateSummary EMPTY_SUMMARY = new StateSummary(0, "", 0, 0);

    /** State of the connection. */
    enum State {
        DIALLING,
        HANDSHAKE,
        ESTABLISHED
    }

    /** Purpose of the link. */
    enum Role {
        NEIGHBOUR,
        PROBE
    }

    final long mId;
    final Role mRole;
    final long mOpenedAtMillis;
    State mState;
    long mLastReceivedMillis;
    long mLastPingMillis;

    /** The VM of the peer; null until the peer has identified itself. */
    Vm mRemote;

    /** The last summary received from the peer. */
    StateSummary mSummary = EMPTY_SUMMARY;

    /** Whether the peer's history conflicts with the local one; blocks requests for records. */
    boolean mHistoryConflict;

    Link(long id, Role role, State state, Vm remote, long nowMillis) {
        mId = id;
        mRole = role;
        mState = state;
        mRemote = remote;
        mOpenedAtMillis = nowMillis;
        mLastReceivedMillis = nowMillis;
        mLastPingMillis = nowMillis;
    }

    boolean dialled() {
        return mId > 0;
    }

    boolean established() {
        return mState == State.ESTABLISHED && mRole == Role.NEIGHBOUR;
    }
}
