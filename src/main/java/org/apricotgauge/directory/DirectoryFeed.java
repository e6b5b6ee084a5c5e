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
 * a node that lags by {@link #HINT_PATIENCE_MILLIS} fetches what it misses from the node that said
 * so. All work is done on one worker thread.
 */
public final class DirectoryFeed implements AutoCloseable {
    /**
     * How long one watch waits, in milliseconds. One at the platform costs a call each time; that
     * it still works is found out by the age of the view, see {@link #keepYoung}.
     */
    static final long WATCH_MILLIS = 10_000;

    /** Longest wait for an answer beyond what was asked for; answers take 4 ms, slow ones 250. */
    static final long ANSWER_MILLIS = 1_000;

    /**
     * Pause of a platform's reader after a page with changes: those of the next 0.3 s come in one
     * call. A version still is in force well within the 2 s that it may take.
     */
    static final long GAP_MILLIS = 300;

    /** The same for a reader of another node, which nobody counts. */
    static final long NODE_GAP_MILLIS = 50;

    /**
     * How long a peer may be ahead before it is asked. Two readers of the platform differ by their
     * pauses after a page, and the nodes below them by some milliseconds more.
     */
    static final long HINT_PATIENCE_MILLIS = 400;

    private static final String PLATFORM = "platform";

    private final Parts mParts;
    private final Listener mListener;
    private final DirectoryLog mLog = new DirectoryLog();
    private final SiteFold mSite;
    private final CompletableFuture<Void> mOpened = new CompletableFuture<>();
    private final ViewAge mAge;
    private final ParentLink mParent;
    private final NodeReaders mReaders;
    private final PeerHints mHints;

    private final SiteWatch mWatch;
    private final PlatformLink mPlatform;

    private boolean mIsClosed;
    private long mRenewAtAgeMillis;

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
        SuspendAwareClock elapsed = new SuspendAwareClock(parts.ticker(), parts.wallMillis());
        mParts = AgedSource.in(parts, elapsed);
        mAge = new ViewAge(mParts, elapsed);
        mListener = Checks.notNull("listener", listener);
        mSite = new SiteFold(parts.decoder(), mLog);
        mParent = new ParentLink(mParts, mLog, this::readFromAsked, this::confirmAlone);
        mReaders = new NodeReaders(new OwnView(), parts.times());
        mHints = new PeerHints(mParts, mLog, this::read);
        mWatch = new SiteWatch(mParts, this::readFromParent);
        mPlatform = new PlatformLink(mParts, mLog, (page, inTime) -> read(page, null, inTime));
        mRenewAtAgeMillis = drawRenewalAgeMillis();
    }

    /** Begins to read. */
    public void start() {
        mParts.worker().execute(this::watchIfDue);
    }

    /** Returns a future that completes once a configuration is known and was confirmed. */
    public CompletableFuture<Void> opened() {
        return mOpened;
    }

    /** Returns whether what is known may be acted on: it is there, and confirmed after a pause. */
    public boolean mayAct() {
        return mOpened.isDone() && mAge.isAwake();
    }

    /**
     * Returns whether work may be sent to targets by what is known; cheap, from any thread.
     *
     * <p>A target may have left since the last confirmation, and serves on for a bounded time.
     * While the platform does not answer, targets are served as they were last known.
     */
    public boolean isCurrent() {
        return mAge.millis() <= mParts.times().actBoundMillis() || mPlatform.isAway();
    }

    /** Notes the newest change that a peer knows; cheap, from any thread. */
    public void hint(long newestRevision, Address peer) {
        mHints.hint(newestRevision, peer, mParts.ticker().millis(), !mOpened.isDone());
    }

    /** Returns a time to give to {@link #confirm}; cheap, from any thread. */
    public long elapsedMillis() {
        return mAge.elapsedMillis();
    }

    /**
     * Notes what a peer told in answer to this node; cheap, from any thread.
     *
     * @param told what the peer knew
     * @param askedMillis when this node asked, by {@link #elapsedMillis}; the answer may have been
     *     on its way ever since
     */
    public void confirm(SiteView told, long askedMillis) {
        // After a pause of this process the word may have waited here for as long as the pause.
        if (!mayAct()) {
            return;
        }
        long atMillis = askedMillis - told.ageMillis();
        if (told.revision() <= mSite.items().revision()) {
            mAge.heard(atMillis);
        } else {
            mAge.answered(atMillis);
        }
    }

    /** Returns the items as known now. */
    ItemTable items() {
        return mSite.items();
    }

    /** Returns the revision of the newest change that is known. */
    public long newestRevision() {
        return mSite.items().newest();
    }

    /** Returns what is known of the site, and since when the platform may know more. */
    public SiteView view() {
        // In this order: a change that comes in between makes the age too high, never too low.
        long ageMillis = mAge.millis();
        return new SiteView(newestRevision(), ageMillis);
    }

    /**
     * Returns up to which revision this node knows all changes, and since when the platform may
     * hold others, as it may be told to other nodes: by what this node read itself.
     */
    public SiteView toldView() {
        long ageMillis = mAge.toldMillis();
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
        wakeIfPaused(nowMillis);
        mLog.viewIs(newestRevision(), mAge.millis(), mParts.times().viewBoundMillis());
        mWatch.expire(nowMillis);
        mPlatform.expire(nowMillis);
        mParent.expire(nowMillis);
        followTree(nowMillis);
        keepYoung(nowMillis);
        if (mSite.directory().expire(nowMillis)) {
            mListener.onSite(mSite.directory());
        }
        followHint(nowMillis);
        if (mPlatform.isLost() || !mOpened.isDone()) {
            mHints.askAny(mSite.items().revision(), nowMillis);
        }
        mReaders.answer(nowMillis);
        watchIfDue();
    }

    private void wakeIfPaused(long nowMillis) {
        if (!mAge.onTick()) {
            return;
        }
        mLog.woke(mSite.items().revision());
        mHints.woke();
        mPlatform.drop();
        mParent.drop();
        // The waiting call may hang on a connection that is silent for good; a new one asks now.
        watch(nowMillis, 0);
        mHints.askAny(mSite.items().revision(), nowMillis);
    }

    private void followTree(long nowMillis) {
        if (mParent.follow(!mOpened.isDone(), mSite.items().revision(), nowMillis)) {
            mWatch.pause(0);
            mRenewAtAgeMillis = drawRenewalAgeMillis();
        }
    }

    private void followHint(long nowMillis) {
        // A whole read may be newer than all items in it, when a target came and went meanwhile.
        ItemTable items = mSite.items();
        long knownRevision = Math.max(items.newest(), items.revision());
        if (mHints.followsAfter(HINT_PATIENCE_MILLIS, knownRevision, nowMillis)) {
            mHints.askHinter(items.revision(), nowMillis);
            watch(nowMillis, 0);
        }
    }

    private void watchIfDue() {
        long nowMillis = mParts.ticker().millis();
        if (mIsClosed || !mWatch.isDue(nowMillis)) {
            return;
        }
        boolean answers = !readsPlatform() || !mPlatform.isLost();
        watch(nowMillis, mSite.items().isKnown() && mAge.wasRead() && answers ? WATCH_MILLIS : 0);
    }

    private void watch(long nowMillis, long waitMillis) {
        Address node = mParent.node();
        PendingRead.End end =
                node == null
                        ? new PlatformWatchEnd()
                        : mParent.watchEnd(node, () -> mWatch.pause(NODE_GAP_MILLIS));
        mWatch.begin(node, mSite.items().revision(), waitMillis, nowMillis, end);
    }

    /** How a read of the platform ends that waits for changes, or that would like to. */
    private final class PlatformWatchEnd implements PendingRead.End {
        @Override
        public void answered(PublishedPage page) {
            platformAnswered();
            // A start waits for nothing: its first page may be old, and callers wait meanwhile.
            boolean asksAtOnce = page.items().isEmpty() || !mAge.wasRead();
            mWatch.pause(asksAtOnce ? 0 : GAP_MILLIS);
            watchIfDue();
        }

        @Override
        public void failed(String reason) {
            platformFailed(reason);
        }
    }

    // A watch that went silent looks like one with nothing to tell. Requests went to targets up to
    // 11 s after they had left, until it was given up. So a node whose view nobody confirmed for
    // long enough asks its parent; and if that does not help, or there is none, the platform.
    private void keepYoung(long nowMillis) {
        long ageMillis = mAge.millis();
        if (mParent.asked() != null && ageMillis >= mParts.times().askNodeMillis()) {
            askNode(nowMillis);
        }
        if (ageMillis >= mRenewAtAgeMillis && mayRenew(nowMillis)) {
            renew(nowMillis);
        }
        if (!readsPlatform() && ageMillis < mParts.times().askNodeMillis()) {
            platformAnswered();
        }
    }

    private boolean readsPlatform() {
        return mParent.node() == null;
    }

    private boolean mayRenew(long nowMillis) {
        if (readsPlatform()) {
            return mWatch.isWaiting() && !mPlatform.isLost();
        }
        return !mPlatform.isLost() || nowMillis >= mPlatform.nextTryMillis();
    }

    private void confirmAlone() {
        if (readsPlatform() && !mPlatform.isLost()) {
            renew(mParts.ticker().millis());
        }
    }

    private void askNode(long nowMillis) {
        long pauseMillis =
                mPlatform.isLost() ? PeerHints.PAUSE_MILLIS : mParts.times().nodeAnswerMillis();
        mParent.ask(mSite.items().revision(), pauseMillis, nowMillis);
    }

    private void renew(long nowMillis) {
        if (mPlatform.ask(mSite.items().revision(), nowMillis, new RenewalEnd())) {
            mRenewAtAgeMillis = drawRenewalAgeMillis();
        }
    }

    // Nodes that were confirmed together would all ask together; spread over a part of the time,
    // the first ones' answers spare most of the others their question.
    private long drawRenewalAgeMillis() {
        PlatformTimes times = mParts.times();
        long leastMillis =
                mParent.asked() == null ? times.askNodeMillis() : times.askPlatformMillis();
        return mParts.random().nextLong(leastMillis, times.viewBoundMillis() + 1);
    }

    /** How a question to the platform ends that confirms what is known. */
    private final class RenewalEnd implements PendingRead.End {
        @Override
        public void answered(PublishedPage page) {
            platformAnswered();
            if (!readsPlatform()) {
                mParent.suspect(mParent.node(), "knows less than the platform told this node");
            } else if (!page.items().isEmpty() && mWatch.isUnderWay()) {
                mLog.watchWasSilent(page.revision());
                mWatch.pause(GAP_MILLIS);
            }
        }

        @Override
        public void failed(String reason) {
            platformFailed(reason);
        }
    }

    private void platformAnswered() {
        mPlatform.answered(mSite.items().revision());
    }

    private void platformFailed(String reason) {
        long nowMillis = mParts.ticker().millis();
        mPlatform.failed(reason, mSite.items().revision(), mParent.tree(), nowMillis);
        if (readsPlatform()) {
            mWatch.pause(mPlatform.nextTryMillis() - nowMillis);
        }
    }

    private void readFromParent(PublishedPage page, boolean inTime) {
        read(page, mParent.node(), inTime);
    }

    private void readFromAsked(PublishedPage page, boolean inTime) {
        read(page, mParent.asked(), inTime);
    }

    private void read(PublishedPage page, Address node, boolean inTime) {
        long nowMillis = mParts.ticker().millis();
        boolean isOvertaken = page.revision() < mSite.items().revision();
        // A page that answers a read given up may be as old as its call: a watch's 10 s, or the
        // pause of this process.
        boolean tellsTime = page.tellsAge() && inTime;
        if (tellsTime) {
            // First, so that the page's own delay does not pass for an absence of the platform.
            mAge.answered(mAge.elapsedMillis() - page.ageMillis());
        }
        if (mSite.take(page, originOf(node), nowMillis)) {
            mListener.onSite(mSite.directory());
        }
        if (tellsTime && !isOvertaken) {
            mAge.read(page);
        }
        if (mSite.directory().configuration() != null && mAge.wasRead()) {
            mSite.logNewTargets();
            mOpened.complete(null);
        }
        mReaders.answer(nowMillis);
    }

    private SiteFold.Origin originOf(Address node) {
        return new SiteFold.Origin(
                node == null ? PLATFORM : node.toString(), mAge.millis(), mAge.keepMillis());
    }

    /**
     * Tells another node what it does not know; from any thread.
     *
     * @param afterRevision revision that it has
     * @param waitMillis how long it waits for a change; 0 if it asks for a younger view
     */
    public CompletableFuture<PublishedPage> published(long afterRevision, long waitMillis) {
        CompletableFuture<PublishedPage> answer = new CompletableFuture<>();
        mParts.worker()
                .execute(
                        () ->
                                mReaders.ask(
                                        afterRevision,
                                        waitMillis,
                                        answer,
                                        mParts.ticker().millis()));
        return answer;
    }

    /** What other nodes are told. */
    private final class OwnView implements NodeReaders.View {
        @Override
        public ItemTable items() {
            return mSite.items();
        }

        @Override
        public long ageMillis() {
            return mAge.toldMillis();
        }

        @Override
        public boolean knowsAge() {
            return mAge.wasRead() && mAge.isAwake();
        }

        @Override
        public boolean makeYounger() {
            if (mPlatform.isLost()) {
                return false;
            }
            long nowMillis = mParts.ticker().millis();
            if (mParent.asked() == null) {
                renew(nowMillis);
            } else {
                askNode(nowMillis);
            }
            return true;
        }

        // The question to the platform may be lost; a node of another failure domain may have had
        // its answer.
        @Override
        public void stayedOld() {
            mHints.askAny(mSite.items().revision(), mParts.ticker().millis());
        }
    }

    /** Calls nobody any more; the worker stays its owner's. */
    @Override
    public void close() {
        mIsClosed = true;
    }
}
