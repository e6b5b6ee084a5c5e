package org.apricotgauge.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apricotgauge.decision.gossip.FreshnessGuard;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.time.Ticker;

/**
 * Keeps a node's picture of the site true: watches the platform, and asks other nodes while it
 * cannot.
 *
 * <pre>{@code
 * DirectoryFeed feed = new DirectoryFeed(parts, listener);
 * feed.start();
 * feed.hint(revisionOfPeer, peer);      // from any hop
 * feed.tick();                          // every 100 ms or so, on the worker
 * }</pre>
 *
 * <p>The platform's revisions order all changes, so that whoever has the higher one is right. Every
 * hop between nodes carries the sender's: a node whose watch has gone silent, or that the platform
 * turns away, learns within {@link #HINT_PATIENCE_MILLIS} that it lags, and fetches what it misses
 * from the node that said so. All work is done on one worker thread.
 */
public final class DirectoryFeed implements AutoCloseable {
    /**
     * How long one watch waits at the platform, in milliseconds. A watch costs a call each time;
     * that it still works is found out by the age of the view, see {@link #renewIfOld}.
     */
    static final long WATCH_MILLIS = 10_000;

    /** Longest wait for an answer beyond what was asked for; answers take 4 ms, slow ones 250. */
    static final long ANSWER_MILLIS = 1_000;

    /**
     * Pause after a page with changes: those of the next 0.3 s come in one call, for every node. A
     * version still is in force well within the 2 s that it may take.
     */
    static final long GAP_MILLIS = 300;

    /** How long a peer may be ahead before it is asked; the own watch usually answers sooner. */
    static final long HINT_PATIENCE_MILLIS = 200;

    /** Pause between two tries at a platform that does not answer. */
    static final long RETRY_MILLIS = 300;

    /** Pause between two questions to peers while the platform does not answer. */
    static final long PEER_PAUSE_MILLIS = 400;

    /** A longer gap between two ticks counts as a pause of the process. */
    private static final long PAUSE_MILLIS = 1_500;

    /** After a pause a node waits so long for somebody to confirm what it knows. */
    private static final long CONFIRM_MILLIS = 1_000;

    private static final int MAX_PEERS = 64;

    private static final String PLATFORM = "platform";

    private final Parts mParts;
    private final Listener mListener;
    private final FreshnessGuard mFreshness;
    private final SiteDirectory mDirectory = new SiteDirectory(this::log);
    private final AtomicReference<ItemTable> mItems = new AtomicReference<>(ItemTable.EMPTY);
    private final CompletableFuture<Void> mOpened = new CompletableFuture<>();
    private final DirectoryLog mLog = new DirectoryLog();
    private final List<Address> mPeers = new ArrayList<>();
    private long mCall;
    private boolean mCalling;
    private boolean mWatching;
    private long mCallDueMillis;
    private long mNextCallMillis;
    private boolean mPlatformLost;
    private final Confirmations mConfirmations;
    private long mRenewal;
    private boolean mRenewing;
    private long mRenewalDueMillis;
    private long mRenewAtAgeMillis;
    private long mNextPeerMillis;
    private volatile long mHintedRevision;
    private volatile long mHintedAtMillis;
    private volatile Address mHinter;

    /** Hears what became of the site, on the worker thread. */
    @FunctionalInterface
    public interface Listener {
        /** Something that requests depend on is different. */
        void onSite(SiteDirectory directory);
    }

    /**
     * What a feed works with.
     *
     * @param platform the platform
     * @param peers another node as a source, by the address of its guard
     * @param decoder reads items
     * @param worker runs all work, one piece after the other
     * @param ticker time of intervals
     * @param wallMillis time of day in milliseconds; it goes on while the VM is suspended
     * @param random chooses peers and spreads questions
     * @param times by which the platform lets targets leave
     */
    public record Parts(
            PublishedSource platform,
            Function<Address, PublishedSource> peers,
            SiteDecoder decoder,
            Executor worker,
            Ticker ticker,
            LongSupplier wallMillis,
            RandomGenerator random,
            PlatformTimes times) {

        /** Checks the parts. */
        public Parts {
            Checks.notNull("platform", platform);
            Checks.notNull("peers", peers);
            Checks.notNull("decoder", decoder);
            Checks.notNull("worker", worker);
            Checks.notNull("ticker", ticker);
            Checks.notNull("wallMillis", wallMillis);
            Checks.notNull("random", random);
            Checks.notNull("times", times);
        }
    }

    /** Creates a feed that is not started. */
    public DirectoryFeed(Parts parts, Listener listener) {
        mParts = Checks.notNull("parts", parts);
        mListener = Checks.notNull("listener", listener);
        mConfirmations = new Confirmations(parts.times(), parts.ticker().millis());
        mRenewAtAgeMillis = drawRenewalAgeMillis();
        mFreshness =
                new FreshnessGuard(
                        PAUSE_MILLIS,
                        CONFIRM_MILLIS,
                        parts.ticker().millis(),
                        parts.wallMillis().getAsLong());
    }

    /** Begins to read. */
    public void start() {
        mParts.worker().execute(this::callIfDue);
    }

    /** Returns the items as known now, for peers that ask. */
    public ItemTable items() {
        return mItems.get();
    }

    /** Returns a future that completes once a configuration is known. */
    public CompletableFuture<Void> opened() {
        return mOpened;
    }

    /** Returns whether what is known may be acted on: it is there, and confirmed after a pause. */
    public boolean mayAct() {
        return mOpened.isDone()
                && mFreshness.mayAct(mParts.ticker().millis(), mParts.wallMillis().getAsLong());
    }

    /** Notes the newest change that a peer knows; cheap, from any thread. */
    public void hint(long newestRevision, Address peer) {
        if (newestRevision > mHintedRevision || !mOpened.isDone()) {
            mHintedRevision = Math.max(newestRevision, mHintedRevision);
            mHintedAtMillis = mParts.ticker().millis();
            mHinter = peer;
        }
    }

    /**
     * Notes what a peer knows for sure; cheap, from any thread.
     *
     * @param revision the newest change that the peer knows
     * @param ageMillis how long ago the platform held nothing newer than that
     */
    public void confirm(long revision, long ageMillis) {
        // After a pause of this process the word may have waited here for as long as the pause.
        if (revision <= newestRevision() && mayAct()) {
            mConfirmations.confirmed(mParts.ticker().millis() - ageMillis);
        }
    }

    /** Does what is due; called on the worker. */
    public void tick() {
        long nowMillis = mParts.ticker().millis();
        if (mFreshness.onTick(nowMillis, mParts.wallMillis().getAsLong())) {
            mLog.woke(mItems.get().revision());
            mConfirmations.forget();
            restartCall(nowMillis);
            askPeer(anyPeer(), nowMillis);
        }
        if (mCalling && nowMillis >= mCallDueMillis) {
            failed(mCall, "no answer in time", nowMillis);
        }
        if (mRenewing && nowMillis >= mRenewalDueMillis) {
            renewed(mRenewal, null, new TimeoutException("no answer in time"));
        }
        renewIfOld(nowMillis);
        if (mDirectory.expire(nowMillis)) {
            mListener.onSite(mDirectory);
        }
        followHint(nowMillis);
        if (mPlatformLost || !mOpened.isDone()) {
            askPeer(anyPeer(), nowMillis);
        }
        callIfDue();
    }

    private void followHint(long nowMillis) {
        // A whole read may be newer than all items in it, when a target came and went meanwhile.
        ItemTable items = mItems.get();
        boolean lags = mHintedRevision > Math.max(items.newest(), items.revision());
        if (lags && nowMillis - mHintedAtMillis >= HINT_PATIENCE_MILLIS) {
            mHintedAtMillis = nowMillis;
            askPeer(mHinter, nowMillis);
            restartCall(nowMillis);
        }
    }

    /** Returns the revision of the newest change that is known. */
    public long newestRevision() {
        return mItems.get().newest();
    }

    // The waiting call may hang on a connection that is silent for good; a new one asks at once.
    private void restartCall(long nowMillis) {
        mCalling = false;
        mNextCallMillis = nowMillis;
        call(nowMillis, 0);
    }

    private void callIfDue() {
        long nowMillis = mParts.ticker().millis();
        if (!mCalling && nowMillis >= mNextCallMillis) {
            call(nowMillis, mItems.get().isKnown() && !mPlatformLost ? WATCH_MILLIS : 0);
        }
    }

    private void call(long nowMillis, long waitMillis) {
        long call = ++mCall;
        mCalling = true;
        mWatching = waitMillis > 0;
        mCallDueMillis = nowMillis + waitMillis + ANSWER_MILLIS;
        mParts.platform()
                .read(mItems.get().revision(), waitMillis)
                .whenCompleteAsync((page, failure) -> settle(call, page, failure), mParts.worker());
    }

    private void settle(long call, PublishedPage page, Throwable failure) {
        long nowMillis = mParts.ticker().millis();
        if (failure != null) {
            failed(call, failure.toString(), nowMillis);
            return;
        }
        answered(page, nowMillis);
        if (call != mCall) {
            return;
        }
        mCalling = false;
        if (mPlatformLost) {
            mPlatformLost = false;
            mLog.regained(mItems.get().revision());
        }
        mNextCallMillis = nowMillis + (page.items().isEmpty() ? 0 : GAP_MILLIS);
        callIfDue();
    }

    private void answered(PublishedPage page, long nowMillis) {
        boolean isOvertaken = page.revision() < mItems.get().revision();
        take(page, PLATFORM, nowMillis);
        // One that a peer's page overtook may be as old as its call, a watch's 10 s.
        if (!isOvertaken) {
            mConfirmations.confirmed(nowMillis);
        }
    }

    // A watch that went silent looks like one with nothing to tell. Requests went to targets up to
    // 11 s after they had left, until it was given up. So a node whose view was not confirmed for
    // long enough, by the platform or by a peer that was answered since, asks beside its watch. On
    // three days with silent connections, 24 nodes called 343 to 384 times more in 45 s, each once
    // in 3 s; where 40 requests had come late to targets that had left, none did.
    private void renewIfOld(long nowMillis) {
        boolean watches = mCalling && mWatching && !mPlatformLost;
        if (!watches || mRenewing || mConfirmations.ageMillis(nowMillis) < mRenewAtAgeMillis) {
            return;
        }
        long renewal = ++mRenewal;
        mRenewing = true;
        mRenewalDueMillis = nowMillis + ANSWER_MILLIS;
        mRenewAtAgeMillis = drawRenewalAgeMillis();
        mParts.platform()
                .read(mItems.get().revision(), 0)
                .whenCompleteAsync(
                        (page, failure) -> renewed(renewal, page, failure), mParts.worker());
    }

    // Nodes that were confirmed together would all ask together; spread over the second half of
    // the time, the first ones' answers spare most of the others their question.
    private long drawRenewalAgeMillis() {
        long boundMillis = mParts.times().viewBoundMillis();
        return mParts.random().nextLong(boundMillis / 2, boundMillis + 1);
    }

    private void renewed(long renewal, PublishedPage page, Throwable failure) {
        long nowMillis = mParts.ticker().millis();
        if (failure == null) {
            answered(page, nowMillis);
        }
        if (renewal != mRenewal || !mRenewing) {
            return;
        }
        mRenewing = false;
        if (failure != null) {
            failed(mCall, failure.toString(), nowMillis);
        } else if (!page.items().isEmpty() && mCalling) {
            mLog.watchWasSilent(page.revision());
            mCalling = false;
            mCall++;
            mNextCallMillis = nowMillis + GAP_MILLIS;
        }
    }

    private void failed(long call, String reason, long nowMillis) {
        if (call != mCall || !mCalling) {
            return;
        }
        mCalling = false;
        mCall++;
        mNextCallMillis = nowMillis + RETRY_MILLIS;
        if (!mPlatformLost) {
            mPlatformLost = true;
            mLog.lost(reason, mItems.get().revision());
        }
    }

    private void take(PublishedPage page, String source, long nowMillis) {
        ItemTable before = mItems.get();
        ItemTable after = before.with(page);
        if (page.revision() >= before.revision()) {
            mFreshness.onConfirmed();
        }
        if (after == before) {
            return;
        }
        mItems.set(after);
        List<Change> changes = after.changedSince(before).stream().map(this::decode).toList();
        long keepUntilMillis = mConfirmations.keepsPlaceUntilMillis(nowMillis);
        boolean changed = false;
        for (Change change : changes) {
            mLog.reads(
                    new DirectoryLog.Reading(
                            change.revision(),
                            source,
                            mConfirmations.ageMillis(nowMillis),
                            Math.max(0, keepUntilMillis - nowMillis)));
            changed |= mDirectory.take(change.meaning(), nowMillis, keepUntilMillis);
        }
        mLog.reads(DirectoryLog.Reading.TIME);
        if (changed) {
            mListener.onSite(mDirectory);
        }
        if (mDirectory.configuration() != null) {
            mOpened.complete(null);
        }
    }

    private Change decode(PublishedItem item) {
        SiteChange change = mParts.decoder().decode(item);
        mLog.decoded(change);
        return new Change(change, item.revision());
    }

    // A start reads every target of the site as new; that many lines would tell nothing.
    private void log(TargetChange change) {
        if (change.from() != TargetChange.Presence.ABSENT || mOpened.isDone()) {
            mLog.believes(change);
        }
    }

    /** Returns what is known of the site, and since when the platform may know more. */
    public SiteView view() {
        // In this order: a change that comes in between makes the age too high, never too low.
        long ageMillis = mConfirmations.ageMillis(mParts.ticker().millis());
        return new SiteView(newestRevision(), ageMillis);
    }

    /** Sets the peers that may be asked; called on the worker. */
    public void setPeers(List<Address> peers) {
        mPeers.clear();
        mPeers.addAll(peers.subList(0, Math.min(MAX_PEERS, peers.size())));
    }

    private Address anyPeer() {
        Address hinter = mHinter;
        if (mPeers.isEmpty() || (hinter != null && mParts.random().nextBoolean())) {
            return hinter;
        }
        return mPeers.get(mParts.random().nextInt(mPeers.size()));
    }

    private void askPeer(Address peer, long nowMillis) {
        if (peer == null || nowMillis < mNextPeerMillis) {
            return;
        }
        mNextPeerMillis = nowMillis + PEER_PAUSE_MILLIS;
        mParts.peers()
                .apply(peer)
                .read(mItems.get().revision(), 0)
                .whenCompleteAsync(
                        (page, failure) -> {
                            if (failure == null) {
                                take(page, peer.toString(), mParts.ticker().millis());
                            } else {
                                mLog.peerFailed(peer, failure);
                            }
                        },
                        mParts.worker());
    }

    /** Calls nobody any more; the worker stays its owner's. */
    @Override
    public void close() {
        mCalling = true;
        mWatching = false;
        mCallDueMillis = Long.MAX_VALUE;
    }

    /** A decoded item with its revision. */
    private record Change(SiteChange meaning, long revision) {}
}
