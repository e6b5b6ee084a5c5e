package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * Which other nodes may know more than this one.
 *
 * <p>Hints come from any thread; all else happens on the worker.
 */
final class PeerHints {
    /** Pause between two questions to peers while the platform does not answer. */
    static final long QUERY_INTERVAL_MILLIS = 400;

    private static final int MAX_PEERS = 64;

    private final DirectoryFeed.Parts mParts;
    private final DirectoryLog mLog;
    private final PageListener mPageListener;
    private final List<Address> mPeers = new ArrayList<>();
    private long mNextQueryMillis;
    private long mPauseCount;
    private volatile Hint mHint = new Hint(0, null, 0);

    /** Hears what a peer told. */
    @FunctionalInterface
    interface PageListener {
        /**
         * Takes a page.
         *
         * @param page the page
         * @param peer who told it
         * @param inTime whether this process was not paused since the question
         */
        void onPage(PublishedPage page, Address peer, boolean inTime);
    }

    /**
     * The newest change that a peer named.
     *
     * @param revision its revision
     * @param peer who named it; null before the first hint
     * @param atMillis when it did, or when it was last followed
     */
    private record Hint(long revision, Address peer, long atMillis) {}

    PeerHints(DirectoryFeed.Parts parts, DirectoryLog log, PageListener onPage) {
        mParts = Checks.notNull("parts", parts);
        mLog = Checks.notNull("log", log);
        mPageListener = Checks.notNull("onPage", onPage);
    }

    /** Sets the peers that may be asked. */
    void setPeers(List<Address> peers) {
        mPeers.clear();
        mPeers.addAll(peers.subList(0, Math.min(MAX_PEERS, peers.size())));
    }

    /**
     * Notes what a peer knows; cheap, from any thread.
     *
     * @param isWanted whether any peer is welcome, also one that names nothing newer
     */
    void hint(long revision, Address peer, long nowMillis, boolean isWanted) {
        Hint known = mHint;
        if (revision > known.revision() || isWanted) {
            mHint = new Hint(Math.max(revision, known.revision()), peer, nowMillis);
        }
    }

    /** Returns whether a peer has been ahead for longer than a time; it is then waited anew. */
    boolean consumeDueHint(long patienceMillis, long knownRevision, long nowMillis) {
        Hint hint = mHint;
        boolean lags = hint.revision() > knownRevision;
        if (!lags || nowMillis - hint.atMillis() < patienceMillis) {
            return false;
        }
        mHint = new Hint(hint.revision(), hint.peer(), nowMillis);
        return true;
    }

    private Address randomPeer() {
        Address hinter = mHint.peer();
        if (mPeers.isEmpty() || (hinter != null && mParts.random().nextBoolean())) {
            return hinter;
        }
        return mPeers.get(mParts.random().nextInt(mPeers.size()));
    }

    /** Asks the peer that named the newest change, unless one was asked a moment ago. */
    void queryHintedPeer(long revision, long nowMillis) {
        query(mHint.peer(), revision, nowMillis);
    }

    /** Asks the hinter or any other peer, unless one was asked a moment ago. */
    void queryAnyPeer(long revision, long nowMillis) {
        query(randomPeer(), revision, nowMillis);
    }

    private void query(Address peer, long revision, long nowMillis) {
        if (peer == null || nowMillis < mNextQueryMillis) {
            return;
        }
        mNextQueryMillis = nowMillis + QUERY_INTERVAL_MILLIS;
        long wakes = mPauseCount;
        mParts.peers()
                .apply(peer)
                .read(revision, 0)
                .whenCompleteAsync(
                        (page, failure) -> {
                            if (failure == null) {
                                mPageListener.onPage(page, peer, wakes == mPauseCount);
                            } else {
                                mLog.logPeerFailure(peer, failure.toString());
                            }
                        },
                        mParts.worker());
    }

    /** This process woke from a pause: an answer may have waited here for as long. */
    void onResumed() {
        mPauseCount++;
    }
}
