package org.apricotgauge.directory;

import java.util.Objects;
import java.util.function.Predicate;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;

/**
 * Selects and queries the node that this one reads the site from, or that confirms its view if it
 * reads the platform.
 *
 * <p>A parent that does not answer, or does not know the age of its view, is skipped for a while,
 * and the next in the {@link ReaderTree} replaces it. Not thread-safe.
 */
final class ParentLink {
    private final FeedParts mParts;
    private final DirectoryLog mLog;
    private final SuspectTracker mSuspects = new SuspectTracker();
    private final PendingRead mQuery;
    private final Runnable mOnStillStale;
    private ReaderTree mTree = ReaderTree.ofSingleNode();
    private Address mParent;
    private Address mConfirmer;
    private long mNextQueryMillis;

    /** The tree that the nodes were selected from while no node was suspect; else null. */
    private ReaderTree mSettledTree;

    /**
     * Creates a link without a node, so that the platform is read.
     *
     * @param parts dependencies of the feed
     * @param log logs the state of other nodes
     * @param pageListener receives the pages of the queried node
     * @param onStillStale runs after a query that returned no view that is fresh enough
     */
    ParentLink(
            FeedParts parts,
            DirectoryLog log,
            PendingRead.PageListener pageListener,
            Runnable onStillStale) {
        mParts = Checks.notNull("parts", parts);
        mLog = Checks.notNull("log", log);
        mQuery = new PendingRead(parts.worker(), pageListener);
        mOnStillStale = Checks.notNull("onStillStale", onStillStale);
    }

    /** How the node to read from is selected. */
    enum Mode {
        /** This node is not ready for callers yet. */
        STARTING,
        /** Only the platform can tell this node the era that it is in. */
        PLATFORM_ONLY,
        /** By the tree. */
        BY_TREE
    }

    /** Returns the node to read from; null for the platform. */
    Address parent() {
        return mParent;
    }

    /** Returns the node to query for a fresher view; null if only the platform can be queried. */
    Address queriedNode() {
        return mParent == null ? mConfirmer : mParent;
    }

    ReaderTree tree() {
        return mTree;
    }

    void setTree(ReaderTree tree) {
        mTree = Checks.notNull("tree", tree);
    }

    /**
     * Selects the node to read from; returns whether it changed.
     *
     * <p>A node that has just started does not know yet which of its neighbors answer. After one
     * failure it reads the platform, so that its callers need not wait while it tries them in turn.
     *
     * @param mode how the node is to be selected
     * @param position position that this node has, for the log
     */
    boolean selectNodes(Mode mode, StorePosition position, long nowMillis) {
        if (mode == Mode.BY_TREE && mTree == mSettledTree && mSuspects.isEmpty()) {
            return false;
        }
        boolean skipsNodes =
                mode == Mode.PLATFORM_ONLY || (mode == Mode.STARTING && !mSuspects.isEmpty());
        Predicate<Address> isSuspect = node -> skipsNodes || mSuspects.contains(node, nowMillis);
        Address queriedBefore = queriedNode();
        Address nodeBefore = mParent;
        mParent = skipsNodes ? null : mTree.parent(isSuspect).orElse(null);
        mConfirmer = mTree.confirmer(isSuspect).orElse(null);
        mSettledTree = mode == Mode.BY_TREE && mSuspects.isEmpty() ? mTree : null;
        if (!Objects.equals(queriedNode(), queriedBefore)) {
            mQuery.cancel();
        }
        if (Objects.equals(mParent, nodeBefore)) {
            return false;
        }
        mLog.logParent(mParent, position);
        return true;
    }

    /**
     * Requests a fresher view, unless a query is pending or the pause after the last one has not
     * passed.
     *
     * <p>A parent is given time to query its own parent. A reader of the platform times out earlier
     * and queries the platform instead, since other nodes wait for its answer.
     *
     * @param after position that this node has
     * @param pauseMillis minimum time until the next query
     */
    void query(StorePosition after, long pauseMillis, long nowMillis) {
        if (mQuery.isInProgress() || nowMillis < mNextQueryMillis) {
            return;
        }
        mNextQueryMillis = nowMillis + pauseMillis;
        long timeoutMillis = mParts.times().nodeTimeoutMillis();
        mQuery.start(
                mParts.peers().apply(queriedNode()),
                new PendingRead.Query(after, 0),
                nowMillis + (mParent == null ? timeoutMillis : 2 * timeoutMillis),
                new QueryListener(queriedNode()));
    }

    /** Skips a node for a while. */
    void suspect(Address node, String reason) {
        mLog.logPeerFailure(node, reason);
        mSuspects.recordFailure(node, mParts.ticker().millis());
    }

    /** Fails the pending query if it timed out. */
    void expire(long nowMillis) {
        mQuery.expire(nowMillis);
    }

    /** Cancels the pending query. */
    void cancel() {
        mQuery.cancel();
    }

    // A node that does not know the age of its page cannot confirm this node's view.
    private void suspectIfAgeUnknown(Address node, PublishedPage page) {
        if (!page.isAgeKnown()) {
            suspect(node, "age of its view is unknown");
        }
    }

    /**
     * Returns the listener of a watch at a node.
     *
     * @param node the node
     * @param onAnswered runs after an answer
     */
    PendingRead.CompletionListener watchListener(Address node, Runnable onAnswered) {
        return new PendingRead.CompletionListener() {
            @Override
            public void onAnswered(PublishedPage page) {
                suspectIfAgeUnknown(node, page);
                onAnswered.run();
            }

            @Override
            public void onFailed(String reason) {
                suspect(node, reason);
            }
        };
    }

    private final class QueryListener implements PendingRead.CompletionListener {
        private final Address mQueriedNode;

        private QueryListener(Address queriedNode) {
            mQueriedNode = queriedNode;
        }

        @Override
        public void onAnswered(PublishedPage page) {
            suspectIfAgeUnknown(mQueriedNode, page);
            if (page.isAgeKnown() && page.ageMillis() <= mParts.times().maxFreshAgeMillis()) {
                mSuspects.recordSuccess(mQueriedNode);
                return;
            }
            if (mQueriedNode.equals(mConfirmer) && page.isAgeKnown()) {
                suspect(mQueriedNode, "its view is too stale");
            }
            mOnStillStale.run();
        }

        @Override
        public void onFailed(String reason) {
            suspect(mQueriedNode, reason);
            mOnStillStale.run();
        }
    }
}
