package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;

/**
 * Tracks which other nodes may have newer changes than this one, and queries them.
 *
 * <p>Hints may be recorded from any thread; everything else runs on the worker.
 */
final class PeerHints {
    /** Interval between two queries to peers while the platform does not answer. */
    static final long QUERY_INTERVAL_MILLIS = 400;

    private static final int MAX_PEERS = 64;
    private static final int MAX_DIGESTS = 64;

    private final FeedParts mParts;
    private final DirectoryLog mLog;
    private final PageListener mPageListener;
    private final List<Address> mPeers = new ArrayList<>();
    private long mNextQueryMillis;
    private long mPauseCount;
    private final AtomicReference<Teller> mTeller = new AtomicReference<>();
    private final Set<Long> mHeardDigests =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                            return size() > MAX_DIGESTS;
                        }
                    });
    private volatile Hint mHint = new Hint(StorePosition.NONE, null, 0);

    /** Receives pages from peers. */
    @FunctionalInterface
    interface PageListener {
        /**
         * Called with the answer of a peer.
         *
         * @param page the page
         * @param peer the peer that sent it
         * @param isTimely whether this process was not paused since the query
         */
        void onPage(PublishedPage page, Address peer, boolean isTimely);
    }

    /**
     * The newest position that a peer reported.
     *
     * @param position the position
     * @param peer the peer that reported it; null before the first hint
     * @param atMillis when it was reported, or when this node last acted on it
     */
    private record Hint(StorePosition position, Address peer, long atMillis) {}

    /** A peer that knows lost writes with a digest. */
    private record Teller(Address peer, long digest) {}

    PeerHints(FeedParts parts, DirectoryLog log, PageListener pageListener) {
        mParts = Checks.notNull("parts", parts);
        mLog = Checks.notNull("log", log);
        mPageListener = Checks.notNull("pageListener", pageListener);
    }

    /** Sets the peers that may be queried. */
    void setPeers(List<Address> peers) {
        mPeers.clear();
        mPeers.addAll(peers.subList(0, Math.min(MAX_PEERS, peers.size())));
    }

    /**
     * Records the position of a peer; cheap and thread-safe.
     *
     * @param peer the peer; null if its address is unknown, so that the one known before is kept
     * @param needsPeer whether to record the peer even if it reports nothing newer, since this node
     *     is not ready yet
     */
    void hint(StorePosition position, Address peer, long nowMillis, boolean needsPeer) {
        Hint known = mHint;
        boolean isNewer = known.position().isBefore(position);
        if (isNewer || needsPeer) {
            mHint =
                    new Hint(
                            isNewer ? position : known.position(),
                            peer == null ? known.peer() : peer,
                            nowMillis);
        }
    }

    /** Records the digest of the lost writes that a peer knows; cheap and thread-safe. */
    void hintLostWrites(long digest, Address peer) {
        mTeller.set(new Teller(peer, digest));
    }

    /**
     * Queries the last peer that knows lost writes, unless this node has heard them or the query
     * interval has not passed.
     *
     * @param knownDigest digest of the lost writes that this node knows
     */
    void queryTeller(long knownDigest, StorePosition after, long nowMillis) {
        Teller teller = mTeller.getAndSet(null);
        if (teller != null
                && teller.digest() != knownDigest
                && !mHeardDigests.contains(teller.digest())) {
            query(teller.peer(), after, nowMillis);
        }
    }

    /** Records the lost writes that a peer has told. */
    void recordHeard(List<PublishedItem> lostWrites) {
        if (!lostWrites.isEmpty()) {
            mHeardDigests.add(LostWrites.digestOf(lostWrites));
        }
    }

    /** Returns whether a peer has been ahead for at least a delay, and restarts the delay if so. */
    boolean consumeDueHint(long delayMillis, StorePosition known, long nowMillis) {
        Hint hint = mHint;
        boolean lags = known.isBefore(hint.position());
        if (!lags || nowMillis - hint.atMillis() < delayMillis) {
            return false;
        }
        mHint = new Hint(hint.position(), hint.peer(), nowMillis);
        return true;
    }

    private Address randomPeer() {
        Address hintedPeer = mHint.peer();
        if (mPeers.isEmpty() || (hintedPeer != null && mParts.random().nextBoolean())) {
            return hintedPeer;
        }
        return mPeers.get(mParts.random().nextInt(mPeers.size()));
    }

    /** Queries the peer of the newest hint, unless the query interval has not passed. */
    void queryHintedPeer(StorePosition after, long nowMillis) {
        query(mHint.peer(), after, nowMillis);
    }

    /** Queries the peer of the newest hint or another one, unless the interval has not passed. */
    void queryAnyPeer(StorePosition after, long nowMillis) {
        query(randomPeer(), after, nowMillis);
    }

    private void query(Address peer, StorePosition after, long nowMillis) {
        if (peer == null || nowMillis < mNextQueryMillis) {
            return;
        }
        mNextQueryMillis = nowMillis + QUERY_INTERVAL_MILLIS;
        long pauseCount = mPauseCount;
        mParts.peers()
                .apply(peer)
                .read(after, 0)
                .whenCompleteAsync(
                        (page, failure) -> {
                            if (failure == null) {
                                mPageListener.onPage(page, peer, pauseCount == mPauseCount);
                            } else {
                                mLog.logPeerFailure(peer, failure.toString());
                            }
                        },
                        mParts.worker());
    }

    /** Called after a pause of this process, in which a pending answer may have been buffered. */
    void onResumed() {
        mPauseCount++;
    }
}
