package org.apricotgauge.directory;

import java.util.Objects;
import java.util.function.Predicate;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * The node that this one reads the site from, or that confirms its view if it reads the platform.
 *
 * <p>A parent that does not answer, or that can't tell how old its view is, is passed over for a
 * while; the next in the {@link ReaderTree} takes its place. Not thread-safe.
 */
final class ParentLink {
    private final DirectoryFeed.Parts mParts;
    private final DirectoryLog mLog;
    private final SuspectTracker mSuspects = new SuspectTracker();
    private final PendingRead mQuery;
    private final Runnable mOnStillStale;
    private ReaderTree mTree = ReaderTree.ofSingleNode();
    private Address mNode;
    private Address mConfirmer;
    private long mNextQueryMillis;

    /**
     * Creates a link to nobody: the platform is read.
     *
     * @param parts what the feed works with
     * @param log takes what is believed of other nodes
     * @param onPage takes what the node tells that was asked
     * @param onStillOld runs when a question brought no younger view
     */
    ParentLink(
            DirectoryFeed.Parts parts,
            DirectoryLog log,
            PendingRead.PageListener onPage,
            Runnable onStillOld) {
        mParts = Checks.notNull("parts", parts);
        mLog = Checks.notNull("log", log);
        mQuery = new PendingRead(parts.worker(), onPage);
        mOnStillStale = Checks.notNull("onStillOld", onStillOld);
    }

    /** Returns the node to read from; null for the platform. */
    Address node() {
        return mNode;
    }

    /** Returns the node to ask for a younger view; null if only the platform can be asked. */
    Address queriedNode() {
        return mNode == null ? mConfirmer : mNode;
    }

    ReaderTree tree() {
        return mTree;
    }

    void setTree(ReaderTree tree) {
        mTree = Checks.notNull("tree", tree);
    }

    /**
     * Looks whom to read from now; returns whether it is somebody else than before.
     *
     * <p>A node that has just started has nobody's word yet that its neighbours answer. After one
     * failure it reads the platform, so that its callers need not wait while it tries one by one.
     *
     * @param isStarting whether the node is not open to callers yet
     * @param revision what is known, for the log
     */
    boolean selectNodes(boolean isStarting, long revision, long nowMillis) {
        boolean isHurried = isStarting && !mSuspects.isEmpty();
        Predicate<Address> isSuspect = one -> isHurried || mSuspects.contains(one, nowMillis);
        Address askedBefore = queriedNode();
        Address nodeBefore = mNode;
        mNode = isHurried ? null : mTree.parent(isSuspect).orElse(null);
        mConfirmer = mTree.confirmer(isSuspect).orElse(null);
        if (!Objects.equals(queriedNode(), askedBefore)) {
            mQuery.cancel();
        }
        if (Objects.equals(mNode, nodeBefore)) {
            return false;
        }
        mLog.logParent(mNode, revision);
        return true;
    }

    /**
     * Asks for a younger view, unless that was done a moment ago.
     *
     * <p>A parent is given time to ask its own; whoever reads the platform asks that instead soon,
     * since others wait for its answer.
     *
     * @param revision what this node knows
     * @param pauseMillis least time until the next question
     */
    void query(long revision, long pauseMillis, long nowMillis) {
        if (mQuery.isInProgress() || nowMillis < mNextQueryMillis) {
            return;
        }
        mNextQueryMillis = nowMillis + pauseMillis;
        long answerMillis = mParts.times().nodeTimeoutMillis();
        mQuery.start(
                mParts.peers().apply(queriedNode()),
                new PendingRead.Query(revision, 0),
                nowMillis + (mNode == null ? answerMillis : 2 * answerMillis),
                new QueryListener(queriedNode()));
    }

    /** Passes a node over for a while. */
    void suspect(Address node, String reason) {
        mLog.logPeerFailure(node, reason);
        mSuspects.recordFailure(node, mParts.ticker().millis());
    }

    /** Ends a question that is due. */
    void expire(long nowMillis) {
        mQuery.expire(nowMillis);
    }

    /** Gives a question up. */
    void cancel() {
        mQuery.cancel();
    }

    // One whose page tells no age knows no more of the platform than this node.
    private void suspectIfAgeUnknown(Address node, PublishedPage page) {
        if (!page.isAgeKnown()) {
            suspect(node, "does not tell the age of its view");
        }
    }

    /**
     * Returns how a read of a node ends that waits for changes.
     *
     * @param node the node
     * @param onAnswered runs when it was answered
     */
    PendingRead.CompletionListener watchListener(Address node, Runnable onAnswered) {
        return new PendingRead.CompletionListener() {
            @Override
            public void answered(PublishedPage page) {
                suspectIfAgeUnknown(node, page);
                onAnswered.run();
            }

            @Override
            public void failed(String reason) {
                suspect(node, reason);
            }
        };
    }

    private final class QueryListener implements PendingRead.CompletionListener {
        private final Address mQueriedNode;

        private QueryListener(Address asked) {
            mQueriedNode = asked;
        }

        @Override
        public void answered(PublishedPage page) {
            suspectIfAgeUnknown(mQueriedNode, page);
            if (page.isAgeKnown() && page.ageMillis() <= mParts.times().maxFreshAgeMillis()) {
                mSuspects.recordSuccess(mQueriedNode);
                return;
            }
            if (mQueriedNode.equals(mConfirmer) && page.isAgeKnown()) {
                suspect(mQueriedNode, "its view is no younger");
            }
            mOnStillStale.run();
        }

        @Override
        public void failed(String reason) {
            suspect(mQueriedNode, reason);
            mOnStillStale.run();
        }
    }
}
