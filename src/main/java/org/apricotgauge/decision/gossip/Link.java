package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Vm;

/** One connection to a peer, as the state machine sees it. */
final class Link {
    private static final StateSummary EMPTY_SUMMARY = new StateSummary(0, "", 0, 0);

    /** How far the link has come. */
    enum State {
        DIALLING,
        HANDSHAKE,
        ESTABLISHED
    }

    /** What the link is for. */
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

    /** The peer; null until it has said who it is. */
    Vm mRemote;

    /** What the peer said last that it holds. */
    StateSummary mSummary = EMPTY_SUMMARY;

    /** Whether the peer's history is another than ours; it is never asked for records then. */
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
