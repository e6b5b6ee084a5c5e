package org.apricotgauge.directory;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.ChangesRequest;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;
import org.apricotgauge.time.SuspendAwareClock;

/**
 * Keeps a node's view of the site current and serves it to other nodes.
 *
 * <pre>{@code
 * DirectoryFeed feed = new DirectoryFeed(parts, listener);
 * feed.start();
 * feed.reports().hint(positionOfPeer, peer);      // on any hop
 * feed.tick();                          // every 100 ms or so, on the worker
 * }</pre>
 *
 * <p>A {@link StorePosition} orders the platform's changes, so the later one wins. A few nodes
 * watch the platform; each other node watches its parent in the {@link ReaderTree} and requests a
 * fresher view before its own becomes stale. A node that receives none in time queries the
 * platform, so that no view depends on another node. Every hop between nodes also carries the
 * sender's position: a node that lags by {@link #HINT_DELAY_MILLIS} fetches the missing changes
 * from that sender. All work runs on one worker thread.
 */
public final class DirectoryFeed implements AutoCloseable {
    /**
     * Duration of a watch, in milliseconds. Each watch of the platform costs a call; a watch that
     * no longer works is detected by the age of the view, see {@link #refreshIfStale}.
     */
    static final long WATCH_MILLIS = 10_000;

    /** Answer timeout beyond the requested wait, in ms; answers take 4 ms, slow ones 250 ms. */
    static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    /**
     * Pause after a page with changes from the platform, so that the changes of the next 0.3 s come
     * in one call. A version still takes effect well within its limit of 2 s.
     */
    static final long PLATFORM_BATCHING_MILLIS = 300;

    /** The same after a page from another node, whose reads cost no platform call. */
    static final long NODE_BATCHING_MILLIS = 50;

    /**
     * How long a peer may be ahead before it is queried. Two readers of the platform differ by
     * their pauses after a page, and the nodes below them by some milliseconds more.
     */
    static final long HINT_DELAY_MILLIS = 400;

    private static final String PLATFORM = "platform";

    private final FeedParts mParts;
    private final Listener mListener;
    private final DirectoryLog mLog = new DirectoryLog();
    private final SiteState mSite;
    private final SiteReports mReports;
    private final CompletableFuture<Void> mReady = new CompletableFuture<>();
    private final ViewAgeTracker mViewAge;
    private final ParentLink mParent;
    private final WaitingReaders mReaders;
    private final PeerHints mHints;
    private final SiteWatch mWatch;
    private final PlatformLink mPlatform;

    private boolean mIsClosed;
    private long mRefreshAtAgeMillis;

    /** Receives changes of the site on the worker thread. */
    @FunctionalInterface
    public interface Listener {
        /** Called after a change of anything that requests depend on. */
        void onSiteChanged(SiteDirectory directory);
    }

    /** Creates a feed that is not started. */
    public DirectoryFeed(FeedParts parts, Listener listener) {
        SuspendAwareClock clock = new SuspendAwareClock(parts.ticker(), parts.wallMillis());
        mSite = new SiteState(parts.decoder(), mLog, parts.times());
        EraResolver eras = new EraResolver(mSite, this::isPlatformUnavailable);
        mParts = AgeAdjustingSource.wrap(parts, clock, eras::resolve);
        mViewAge = new ViewAgeTracker(mParts, clock);
        mListener = Checks.notNull("listener", listener);
        mParent = new ParentLink(mParts, mLog, this::applyQueriedPage, this::refreshWithoutNode);
        mReaders = new WaitingReaders(new LocalView(), parts.times());
        mHints = new PeerHints(mParts, mLog, this::applyPage);
        mReports =
                new SiteReports(
                        new SiteReports.Parts(
                                mSite, mViewAge, mHints, eras, parts.ticker(), mReady::isDone));
        mWatch = new SiteWatch(mParts, this::applyParentPage);
        mPlatform =
                new PlatformLink(mParts, mLog, (page, isTimely) -> applyPage(page, null, isTimely));
        mRefreshAtAgeMillis = drawRefreshAgeMillis();
    }

    /** Starts reading. */
    public void start() {
        mParts.worker().execute(this::watchIfDue);
    }

    /** Returns a future that completes once a configuration is known and confirmed. */
    public CompletableFuture<Void> ready() {
        return mReady;
    }

    /** Returns whether the view may be acted on: it exists, and was confirmed since a pause. */
    public boolean mayAct() {
        return mReports.mayAct();
    }

    /**
     * Returns whether the view is recent enough to send work to targets; cheap and thread-safe. A
     * target may have left since the last confirmation, and accepts requests for a bounded time
     * after that. While the platform does not answer, the last known targets stay in use.
     */
    public boolean isCurrent() {
        return mViewAge.ageMillis() <= mParts.times().maxUsableAgeMillis()
                || mPlatform.isUnavailable();
    }

    /** Returns what this node and its peers tell each other on hops; thread-safe. */
    public SiteReports reports() {
        return mReports;
    }

    private StorePosition position() {
        return mSite.items().position();
    }

    private boolean isPlatformUnavailable() {
        return mPlatform.isUnavailable();
    }

    /** Returns the current items. */
    ItemTable items() {
        return mSite.items();
    }

    /**
     * Sets the nodes of the site; called on the worker.
     *
     * @param tree decides which node to read from
     * @param peers guards that may be queried while the platform does not answer
     */
    public void setNodes(ReaderTree tree, List<Address> peers) {
        mParent.setTree(tree);
        mHints.setPeers(peers);
    }

    /** Runs all due work; called on the worker. */
    public void tick() {
        if (mIsClosed) {
            return;
        }
        long nowMillis = mParts.ticker().millis();
        recoverIfPaused(nowMillis);
        mLog.logViewAge(
                mSite.items().newestPosition(),
                mViewAge.ageMillis(),
                mParts.times().maxViewAgeMillis());
        mWatch.expire(nowMillis);
        mPlatform.expire(nowMillis);
        mParent.expire(nowMillis);
        updateParent(nowMillis);
        refreshIfStale(nowMillis);
        if (mSite.expire(nowMillis)) {
            mListener.onSiteChanged(mSite.directory());
        }
        followHint(nowMillis);
        mHints.queryTeller(mSite.lostWrites().digest(), position(), nowMillis);
        if (mPlatform.lastCallFailed() || !mReady.isDone()) {
            mHints.queryAnyPeer(position(), nowMillis);
        }
        mReaders.answerDue(nowMillis);
        watchIfDue();
    }

    private void recoverIfPaused(long nowMillis) {
        if (!mViewAge.onTick()) {
            return;
        }
        mLog.logResumed(position());
        mHints.onResumed();
        mPlatform.cancel();
        mParent.cancel();
        // The pending watch may hang on a dead connection; a new call replaces it at once.
        watch(nowMillis, 0);
        mHints.queryAnyPeer(position(), nowMillis);
    }

    private void updateParent(long nowMillis) {
        if (mParent.selectNodes(selectionMode(), position(), nowMillis)) {
            mWatch.pause(0);
            mRefreshAtAgeMillis = drawRefreshAgeMillis();
        }
    }

    private ParentLink.Mode selectionMode() {
        if (!position().hasEra() && !mPlatform.hasAnswered()) {
            return ParentLink.Mode.PLATFORM_ONLY;
        }
        return mReady.isDone() ? ParentLink.Mode.BY_TREE : ParentLink.Mode.STARTING;
    }

    private void followHint(long nowMillis) {
        // A full read may be newer than all its items, if a target was added and removed meanwhile.
        StorePosition newest = mSite.items().newestPosition();
        StorePosition known = newest.isBefore(position()) ? position() : newest;
        if (mHints.consumeDueHint(HINT_DELAY_MILLIS, known, nowMillis)) {
            mHints.queryHintedPeer(position(), nowMillis);
            watch(nowMillis, 0);
        }
    }

    private void watchIfDue() {
        long nowMillis = mParts.ticker().millis();
        if (mIsClosed || !mWatch.isDue(nowMillis)) {
            return;
        }
        boolean answers = !readsPlatform() || !mPlatform.lastCallFailed();
        watch(
                nowMillis,
                mSite.items().isInitialized() && mViewAge.wasRead() && answers ? WATCH_MILLIS : 0);
    }

    private void watch(long nowMillis, long waitMillis) {
        Address node = mParent.parent();
        PendingRead.CompletionListener listener =
                node == null
                        ? new PlatformWatchListener()
                        : mParent.watchListener(node, () -> mWatch.pause(NODE_BATCHING_MILLIS));
        mWatch.start(node, position(), waitMillis, nowMillis, listener);
    }

    /** Handles the end of a platform watch, or of the immediate read that precedes one. */
    private final class PlatformWatchListener implements PendingRead.CompletionListener {
        @Override
        public void onAnswered(PublishedPage page) {
            recordPlatformAnswer();
            // At startup the first page may be stale, and callers are waiting: read again at once.
            boolean readsAtOnce = page.items().isEmpty() || !mViewAge.wasRead();
            mWatch.pause(readsAtOnce ? 0 : PLATFORM_BATCHING_MILLIS);
            watchIfDue();
        }

        @Override
        public void onFailed(String reason) {
            recordPlatformFailure(reason);
        }
    }

    // A watch on a dead connection looks like one without changes: requests went to targets up to
    // 11 s after they had left, until it timed out. So a node whose view is not confirmed in time
    // queries its parent, and the platform if that does not help or there is none.
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
        return mParent.parent() == null;
    }

    private boolean mayQueryPlatform(long nowMillis) {
        if (readsPlatform()) {
            return mWatch.isWaiting() && !mPlatform.lastCallFailed();
        }
        return !mPlatform.lastCallFailed() || nowMillis >= mPlatform.nextRetryMillis();
    }

    private void refreshWithoutNode() {
        if (readsPlatform() && !mPlatform.lastCallFailed()) {
            refreshFromPlatform(mParts.ticker().millis());
        }
    }

    private void refreshFromNode(long nowMillis) {
        long pauseMillis =
                mPlatform.lastCallFailed()
                        ? PeerHints.QUERY_INTERVAL_MILLIS
                        : mParts.times().nodeTimeoutMillis();
        mParent.query(position(), pauseMillis, nowMillis);
    }

    private void refreshFromPlatform(long nowMillis) {
        if (mPlatform.query(position(), nowMillis, new PlatformRefreshListener())) {
            mRefreshAtAgeMillis = drawRefreshAgeMillis();
        }
    }

    // Nodes that were confirmed together would all query together. Spread over an interval, the
    // answers to the first ones spare most of the others their query.
    private long drawRefreshAgeMillis() {
        PlatformTimes times = mParts.times();
        long minAgeMillis =
                mParent.queriedNode() == null
                        ? times.nodeQueryAgeMillis()
                        : times.platformQueryAgeMillis();
        return mParts.random().nextLong(minAgeMillis, times.maxViewAgeMillis() + 1);
    }

    /** Handles the end of a platform query that confirms the view. */
    private final class PlatformRefreshListener implements PendingRead.CompletionListener {
        @Override
        public void onAnswered(PublishedPage page) {
            recordPlatformAnswer();
            if (!readsPlatform()) {
                mParent.suspect(mParent.parent(), "its view is behind the platform");
            } else if (!page.items().isEmpty() && mWatch.isInProgress()) {
                mLog.logSilentWatch(page.position());
                mWatch.pause(PLATFORM_BATCHING_MILLIS);
            }
        }

        @Override
        public void onFailed(String reason) {
            recordPlatformFailure(reason);
        }
    }

    private void recordPlatformAnswer() {
        mPlatform.recordAnswer(position());
    }

    private void recordPlatformFailure(String reason) {
        long nowMillis = mParts.ticker().millis();
        mPlatform.recordFailure(reason, position(), mParent.tree(), nowMillis);
        if (readsPlatform()) {
            mWatch.pause(mPlatform.nextRetryMillis() - nowMillis);
        }
    }

    private void applyParentPage(PublishedPage page, boolean isTimely) {
        applyPage(page, mParent.parent(), isTimely);
    }

    private void applyQueriedPage(PublishedPage page, boolean isTimely) {
        applyPage(page, mParent.queriedNode(), isTimely);
    }

    private void applyPage(PublishedPage page, Address node, boolean isTimely) {
        long nowMillis = mParts.ticker().millis();
        boolean isOutdated = page.position().isBefore(position());
        // A page for a cancelled read may be as old as a watch's 10 s or a pause of this process.
        boolean confirmsView = page.isAgeKnown() && isTimely;
        if (confirmsView) {
            // First, so that the delay of the page itself is not taken for a platform outage.
            mViewAge.recordPlatformAnswer(mViewAge.elapsedMillis() - page.ageMillis());
        }
        if (mSite.isEraFirstToldBy(page)) {
            mViewAge.discardConfirmations();
        }
        if (mSite.isRestoredBy(page)) {
            // First, so that targets that the copy lacks are retained until they register again.
            mViewAge.recordRestore();
        }
        mHints.recordHeard(page.lostWrites());
        if (mSite.apply(page, originOf(node), nowMillis)) {
            mListener.onSiteChanged(mSite.directory());
        }
        if (confirmsView && !isOutdated) {
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

    /** Returns the changes that another node requests; thread-safe. */
    public CompletableFuture<PublishedPage> changesForNode(ChangesRequest request) {
        CompletableFuture<PublishedPage> answer = new CompletableFuture<>();
        mParts.worker().execute(() -> mReaders.submit(request, answer, mParts.ticker().millis()));
        return answer;
    }

    /** The view that is served to other nodes. */
    private final class LocalView implements WaitingReaders.View {
        @Override
        public ItemTable items() {
            return mSite.items();
        }

        @Override
        public LostWrites lostWrites() {
            return mSite.lostWrites();
        }

        @Override
        public long ageMillis() {
            return mViewAge.reportedAgeMillis();
        }

        @Override
        public boolean isAgeKnown() {
            return mViewAge.wasRead() && mViewAge.mayAct();
        }

        @Override
        public boolean requestRefresh() {
            if (mPlatform.lastCallFailed()) {
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

        // The platform query may be lost; a node of another failure domain may have an answer.
        @Override
        public void onStaleAnswer() {
            mHints.queryAnyPeer(position(), mParts.ticker().millis());
        }
    }

    /** Stops all reads; the worker remains under control of its owner. */
    @Override
    public void close() {
        mIsClosed = true;
    }
}
