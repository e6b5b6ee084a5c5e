package org.apricotgauge.directory;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.time.SuspendAwareClock;
import org.apricotgauge.time.Ticker;

/**
 * Keeps a node's picture of the site true: reads it from the platform or from another node, and
 * tells it to others.
 *
 * <pre>{@code
 * DirectoryFeed feed = new DirectoryFeed(parts, listener);
 * feed.start();
 * feed.hint(revisionOfPeer, peer);      // from any hop
 * feed.tick();                          // every 100 ms or so, on the worker
 * }</pre>
 *
 * <p>The platform's revisions order all changes, so that whoever has the higher one is right. A few
 * nodes watch the platform; each other one watches its parent in the {@link ReaderTree} and asks it
 * for a younger view before its own grows old. Whoever is told none in time asks the platform, so
 * that no view depends on another node. Every hop between nodes carries the sender's revision too:
 * a node that lags by {@link #HINT_DELAY_MILLIS} fetches what it misses from the node that said so.
 * All work is done on one worker thread.
 */
public final class DirectoryFeed implements AutoCloseable {
    /**
     * How long one watch waits, in milliseconds. One at the platform costs a call each time; that
     * it still works is found out by the age of the view, see {@link #refreshIfStale}.
     */
    static final long WATCH_MILLIS = 10_000;

    /** Longest wait for an answer beyond what was asked for; answers take 4 ms, slow ones 250. */
    static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    /**
     * Pause of a platform's reader after a page with changes: those of the next 0.3 s come in one
     * call. A version still is in force well within the 2 s that it may take.
     */
    static final long PLATFORM_BATCHING_MILLIS = 300;

    /** The same for a reader of another node, which nobody counts. */
    static final long NODE_BATCHING_MILLIS = 50;

    /**
     * How long a peer may be ahead before it is asked. Two readers of the platform differ by their
     * pauses after a page, and the nodes below them by some milliseconds more.
     */
    static final long HINT_DELAY_MILLIS = 400;

    private static final String PLATFORM = "platform";

    private final Parts mParts;
    private final Listener mListener;
    private final DirectoryLog mLog = new DirectoryLog();
    private final SiteState mSite;
    private final CompletableFuture<Void> mReady = new CompletableFuture<>();
    private final ViewAgeTracker mViewAge;
    private final ParentLink mParent;
    private final WaitingReaders mReaders;
    private final PeerHints mHints;

    private final SiteWatch mWatch;
    private final PlatformLink mPlatform;

    private boolean mIsClosed;
    private long mRefreshAtAgeMillis;

    /** Hears what became of the site, on the worker thread. */
    @FunctionalInterface
    public interface Listener {
        /** Something that requests depend on is different. */
        void onSiteChanged(SiteDirectory directory);
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
        SuspendAwareClock elapsed = new SuspendAwareClock(parts.ticker(), parts.wallMillis());
        mParts = AgeAdjustingSource.wrap(parts, elapsed);
        mViewAge = new ViewAgeTracker(mParts, elapsed);
        mListener = Checks.notNull("listener", listener);
        mSite = new SiteState(parts.decoder(), mLog);
        mParent = new ParentLink(mParts, mLog, this::applyQueriedPage, this::refreshWithoutNode);
        mReaders = new WaitingReaders(new LocalView(), parts.times());
        mHints = new PeerHints(mParts, mLog, this::applyPage);
        mWatch = new SiteWatch(mParts, this::applyParentPage);
        mPlatform = new PlatformLink(mParts, mLog, (page, inTime) -> applyPage(page, null, inTime));
        mRefreshAtAgeMillis = drawRefreshAgeMillis();
    }

    /** Begins to read. */
    public void start() {
        mParts.worker().execute(this::watchIfDue);
    }

    /** Returns a future that completes once a configuration is known and was confirmed. */
    public CompletableFuture<Void> ready() {
        return mReady;
    }

    /** Returns whether what is known may be acted on: it is there, and confirmed after a pause. */
    public boolean mayAct() {
        return mReady.isDone() && mViewAge.mayAct();
    }

    /**
     * Returns whether work may be sent to targets by what is known; cheap, from any thread.
     *
     * <p>A target may have left since the last confirmation, and serves on for a bounded time.
     * While the platform does not answer, targets are served as they were last known.
     */
    public boolean isCurrent() {
        return mViewAge.ageMillis() <= mParts.times().maxUsableAgeMillis()
                || mPlatform.isUnavailable();
    }

    /** Notes the newest change that a peer knows; cheap, from any thread. */
    public void hint(long newestRevision, Address peer) {
        mHints.hint(newestRevision, peer, mParts.ticker().millis(), !mReady.isDone());
    }

    /** Returns a time to give to {@link #recordPeerView}; cheap, from any thread. */
    public long elapsedMillis() {
        return mViewAge.elapsedMillis();
    }

    /**
     * Notes what a peer told in answer to this node; cheap, from any thread.
     *
     * @param told what the peer knew
     * @param askedMillis when this node asked, by {@link #elapsedMillis}; the answer may have been
     *     on its way ever since
     */
    public void recordPeerView(SiteView told, long askedMillis) {
        // After a pause of this process the word may have waited here for as long as the pause.
        if (!mayAct()) {
            return;
        }
        long atMillis = askedMillis - told.ageMillis();
        if (told.revision() <= mSite.items().revision()) {
            mViewAge.recordPeerConfirmation(atMillis);
        } else {
            mViewAge.recordPlatformAnswer(atMillis);
        }
    }

    /** Returns the items as known now. */
    ItemTable items() {
        return mSite.items();
    }

    /** Returns the revision of the newest change that is known. */
    public long newestRevision() {
        return mSite.items().newestRevision();
    }

    /** Returns what is known of the site, and since when the platform may know more. */
    public SiteView view() {
        // In this order: a change that comes in between makes the age too high, never too low.
        long ageMillis = mViewAge.ageMillis();
        return new SiteView(newestRevision(), ageMillis);
    }

    /**
     * Returns up to which revision this node knows all changes, and since when the platform may
     * hold others, as it may be told to other nodes: by what this node read itself.
     */
    public SiteView reportedView() {
        long ageMillis = mViewAge.reportedMillis();
        return new SiteView(mSite.items().revision(), ageMillis);
    }

    /**
     * Sets the nodes of the site; called on the worker.
     *
     * @param tree tells whom to read from
     * @param peers guards that may be asked while the platform does not answer
     */
    public void setNodes(ReaderTree tree, List<Address> peers) {
        mParent.setTree(tree);
        mHints.setPeers(peers);
    }

    /** Does what is due; called on the worker. */
    public void tick() {
        if (mIsClosed) {
            return;
        }
        long nowMillis = mParts.ticker().millis();
        recoverIfPaused(nowMillis);
        mLog.logViewAge(newestRevision(), mViewAge.ageMillis(), mParts.times().maxViewAgeMillis());
        mWatch.expire(nowMillis);
        mPlatform.expire(nowMillis);
        mParent.expire(nowMillis);
        updateParent(nowMillis);
        refreshIfStale(nowMillis);
        if (mSite.directory().expire(nowMillis)) {
            mListener.onSiteChanged(mSite.directory());
        }
        followHint(nowMillis);
        if (mPlatform.isLost() || !mReady.isDone()) {
            mHints.queryAnyPeer(mSite.items().revision(), nowMillis);
        }
        mReaders.answerDue(nowMillis);
        watchIfDue();
    }

    private void recoverIfPaused(long nowMillis) {
        if (!mViewAge.onTick()) {
            return;
        }
        mLog.logResumed(mSite.items().revision());
        mHints.onResumed();
        mPlatform.cancel();
        mParent.cancel();
        // The waiting call may hang on a connection that is silent for good; a new one asks now.
        watch(nowMillis, 0);
        mHints.queryAnyPeer(mSite.items().revision(), nowMillis);
    }

    private void updateParent(long nowMillis) {
        if (mParent.selectNodes(!mReady.isDone(), mSite.items().revision(), nowMillis)) {
            mWatch.pause(0);
            mRefreshAtAgeMillis = drawRefreshAgeMillis();
        }
    }

    private void followHint(long nowMillis) {
        // A whole read may be newer than all items in it, when a target came and went meanwhile.
        ItemTable items = mSite.items();
        long knownRevision = Math.max(items.newestRevision(), items.revision());
        if (mHints.consumeDueHint(HINT_DELAY_MILLIS, knownRevision, nowMillis)) {
            mHints.queryHintedPeer(items.revision(), nowMillis);
            watch(nowMillis, 0);
        }
    }

    private void watchIfDue() {
        long nowMillis = mParts.ticker().millis();
        if (mIsClosed || !mWatch.isDue(nowMillis)) {
            return;
        }
        boolean answers = !readsPlatform() || !mPlatform.isLost();
        watch(
                nowMillis,
                mSite.items().isInitialized() && mViewAge.wasRead() && answers ? WATCH_MILLIS : 0);
    }

    private void watch(long nowMillis, long waitMillis) {
        Address node = mParent.node();
        PendingRead.CompletionListener end =
                node == null
                        ? new PlatformWatchListener()
                        : mParent.watchListener(node, () -> mWatch.pause(NODE_BATCHING_MILLIS));
        mWatch.start(node, mSite.items().revision(), waitMillis, nowMillis, end);
    }

    /** How a read of the platform ends that waits for changes, or that would like to. */
    private final class PlatformWatchListener implements PendingRead.CompletionListener {
        @Override
        public void answered(PublishedPage page) {
            recordPlatformAnswer();
            // A start waits for nothing: its first page may be old, and callers wait meanwhile.
            boolean asksAtOnce = page.items().isEmpty() || !mViewAge.wasRead();
            mWatch.pause(asksAtOnce ? 0 : PLATFORM_BATCHING_MILLIS);
            watchIfDue();
        }

        @Override
        public void failed(String reason) {
            recordPlatformFailure(reason);
        }
    }

    // A watch that went silent looks like one with nothing to tell. Requests went to targets up to
    // 11 s after they had left, until it was given up. So a node whose view nobody confirmed for
    // long enough asks its parent; and if that does not help, or there is none, the platform.
    private void refreshIfStale(long nowMillis) {
        long ageMillis = mViewAge.ageMillis();
        if (mParent.queriedNode() != null && ageMillis >= mParts.times().nodeQueryAgeMillis()) {
            refreshFromNode(nowMillis);
        }
        if (ageMillis >= mRefreshAtAgeMillis && mayQueryPlatform(nowMillis)) {
            refreshFromPlatform(nowMillis);
        }
        if (!readsPlatform() && ageMillis < mParts.times().nodeQueryAgeMillis()) {
            recordPlatformAnswer();
        }
    }

    private boolean readsPlatform() {
        return mParent.node() == null;
    }

    private boolean mayQueryPlatform(long nowMillis) {
        if (readsPlatform()) {
            return mWatch.isWaiting() && !mPlatform.isLost();
        }
        return !mPlatform.isLost() || nowMillis >= mPlatform.nextRetryMillis();
    }

    private void refreshWithoutNode() {
        if (readsPlatform() && !mPlatform.isLost()) {
            refreshFromPlatform(mParts.ticker().millis());
        }
    }

    private void refreshFromNode(long nowMillis) {
        long pauseMillis =
                mPlatform.isLost()
                        ? PeerHints.QUERY_INTERVAL_MILLIS
                        : mParts.times().nodeTimeoutMillis();
        mParent.query(mSite.items().revision(), pauseMillis, nowMillis);
    }

    private void refreshFromPlatform(long nowMillis) {
        if (mPlatform.query(mSite.items().revision(), nowMillis, new PlatformRefreshListener())) {
            mRefreshAtAgeMillis = drawRefreshAgeMillis();
        }
    }

    // Nodes that were confirmed together would all ask together; spread over a part of the time,
    // the first ones' answers spare most of the others their question.
    private long drawRefreshAgeMillis() {
        PlatformTimes times = mParts.times();
        long leastMillis =
                mParent.queriedNode() == null
                        ? times.nodeQueryAgeMillis()
                        : times.platformQueryAgeMillis();
        return mParts.random().nextLong(leastMillis, times.maxViewAgeMillis() + 1);
    }

    /** How a question to the platform ends that confirms what is known. */
    private final class PlatformRefreshListener implements PendingRead.CompletionListener {
        @Override
        public void answered(PublishedPage page) {
            recordPlatformAnswer();
            if (!readsPlatform()) {
                mParent.suspect(mParent.node(), "knows less than the platform told this node");
            } else if (!page.items().isEmpty() && mWatch.isInProgress()) {
                mLog.logSilentWatch(page.revision());
                mWatch.pause(PLATFORM_BATCHING_MILLIS);
            }
        }

        @Override
        public void failed(String reason) {
            recordPlatformFailure(reason);
        }
    }

    private void recordPlatformAnswer() {
        mPlatform.recordAnswer(mSite.items().revision());
    }

    private void recordPlatformFailure(String reason) {
        long nowMillis = mParts.ticker().millis();
        mPlatform.recordFailure(reason, mSite.items().revision(), mParent.tree(), nowMillis);
        if (readsPlatform()) {
            mWatch.pause(mPlatform.nextRetryMillis() - nowMillis);
        }
    }

    private void applyParentPage(PublishedPage page, boolean inTime) {
        applyPage(page, mParent.node(), inTime);
    }

    private void applyQueriedPage(PublishedPage page, boolean inTime) {
        applyPage(page, mParent.queriedNode(), inTime);
    }

    private void applyPage(PublishedPage page, Address node, boolean inTime) {
        long nowMillis = mParts.ticker().millis();
        boolean isOvertaken = page.revision() < mSite.items().revision();
        // A page that answers a read given up may be as old as its call: a watch's 10 s, or the
        // pause of this process.
        boolean tellsTime = page.isAgeKnown() && inTime;
        if (tellsTime) {
            // First, so that the page's own delay does not pass for an absence of the platform.
            mViewAge.recordPlatformAnswer(mViewAge.elapsedMillis() - page.ageMillis());
        }
        if (mSite.apply(page, originOf(node), nowMillis)) {
            mListener.onSiteChanged(mSite.directory());
        }
        if (tellsTime && !isOvertaken) {
            mViewAge.recordRead(page);
        }
        if (mSite.directory().configuration() != null && mViewAge.wasRead()) {
            mSite.enableNewTargetLogging();
            mReady.complete(null);
        }
        mReaders.answerDue(nowMillis);
    }

    private SiteState.PageOrigin originOf(Address node) {
        return new SiteState.PageOrigin(
                node == null ? PLATFORM : node.toString(),
                mViewAge.ageMillis(),
                mViewAge.retentionMillis());
    }

    /**
     * Tells another node what it does not know; from any thread.
     *
     * @param afterRevision revision that it has
     * @param waitMillis how long it waits for a change; 0 if it asks for a younger view
     */
    public CompletableFuture<PublishedPage> changesForNode(long afterRevision, long waitMillis) {
        CompletableFuture<PublishedPage> answer = new CompletableFuture<>();
        mParts.worker()
                .execute(
                        () ->
                                mReaders.submit(
                                        afterRevision,
                                        waitMillis,
                                        answer,
                                        mParts.ticker().millis()));
        return answer;
    }

    /** What other nodes are told. */
    private final class LocalView implements WaitingReaders.View {
        @Override
        public ItemTable items() {
            return mSite.items();
        }

        @Override
        public long ageMillis() {
            return mViewAge.reportedMillis();
        }

        @Override
        public boolean isAgeKnown() {
            return mViewAge.wasRead() && mViewAge.mayAct();
        }

        @Override
        public boolean requestRefresh() {
            if (mPlatform.isLost()) {
                return false;
            }
            long nowMillis = mParts.ticker().millis();
            if (mParent.queriedNode() == null) {
                refreshFromPlatform(nowMillis);
            } else {
                refreshFromNode(nowMillis);
            }
            return true;
        }

        // The question to the platform may be lost; a node of another failure domain may have had
        // its answer.
        @Override
        public void onStaleAnswer() {
            mHints.queryAnyPeer(mSite.items().revision(), mParts.ticker().millis());
        }
    }

    /** Calls nobody any more; the worker stays its owner's. */
    @Override
    public void close() {
        mIsClosed = true;
    }
}
