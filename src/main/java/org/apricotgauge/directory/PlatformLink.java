package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;

/**
 * Tracks whether the platform answers this node, and queries it to confirm the node's view.
 *
 * <p>Not thread-safe, except {@link #isUnavailable}.
 */
final class PlatformLink {
    private static final long NOT_QUERIED = Long.MAX_VALUE;

    private final FeedParts mParts;
    private final DirectoryLog mLog;
    private final PendingRead mQuery;
    private final RetryBackoff mRetryBackoff;
    private volatile boolean mLastCallFailed;
    private boolean mHasAnswered;
    private volatile long mQueriedAtMillis = NOT_QUERIED;
    private long mNextRetryMillis;

    /**
     * Creates a link that is not lost.
     *
     * @param parts dependencies of the feed
     * @param log logs when the platform is lost and regained
     * @param pageListener receives the pages that answer the query
     */
    PlatformLink(FeedParts parts, DirectoryLog log, PendingRead.PageListener pageListener) {
        mParts = Checks.notNull("parts", parts);
        mLog = Checks.notNull("log", log);
        mQuery = new PendingRead(parts.worker(), pageListener);
        mRetryBackoff = new RetryBackoff(parts.random());
    }

    /** Returns whether the last call to the platform failed. */
    boolean lastCallFailed() {
        return mLastCallFailed;
    }

    /** Returns whether the platform has ever answered. */
    boolean hasAnswered() {
        return mHasAnswered;
    }

    /** Returns whether the last call failed, or the pending query is unanswered for too long. */
    boolean isUnavailable() {
        long queriedAtMillis = mQueriedAtMillis;
        return mLastCallFailed
                || (queriedAtMillis != NOT_QUERIED
                        && mParts.ticker().millis() - queriedAtMillis
                                >= mParts.times().platformTimeoutMillis());
    }

    /** Returns when to call the platform again after a failed call. */
    long nextRetryMillis() {
        return mNextRetryMillis;
    }

    /** Requests the changes after a position; returns false if a query is already pending. */
    boolean query(StorePosition after, long nowMillis, PendingRead.CompletionListener listener) {
        if (mQuery.isInProgress()) {
            return false;
        }
        mQueriedAtMillis = nowMillis;
        mQuery.start(
                mParts.platform(),
                new PendingRead.Query(after, 0),
                nowMillis + DirectoryFeed.ANSWER_TIMEOUT_MILLIS,
                listener);
        return true;
    }

    /** Records an answer to this node or to another. */
    void recordAnswer(StorePosition position) {
        mQueriedAtMillis = NOT_QUERIED;
        mHasAnswered = true;
        mRetryBackoff.reset();
        if (mLastCallFailed) {
            mLastCallFailed = false;
            mLog.logPlatformRegained(position);
        }
    }

    /** Records a failed call. */
    void recordFailure(String reason, StorePosition position, ReaderTree tree, long nowMillis) {
        mQueriedAtMillis = NOT_QUERIED;
        mNextRetryMillis = nowMillis + mRetryBackoff.nextMillis(tree);
        if (!mLastCallFailed) {
            mLastCallFailed = true;
            mLog.logPlatformLost(reason, position);
        }
    }

    /** Fails the pending query if it timed out. */
    void expire(long nowMillis) {
        mQuery.expire(nowMillis);
    }

    /** Cancels the pending query. */
    void cancel() {
        mQueriedAtMillis = NOT_QUERIED;
        mQuery.cancel();
    }
}
