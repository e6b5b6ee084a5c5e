package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;

/**
 * What a node knows of the platform's answering it, and the question that confirms its view.
 *
 * <p>Not thread-safe, but for {@link #isUnavailable}.
 */
final class PlatformLink {
    private static final long NOT_QUERIED = Long.MAX_VALUE;

    private final DirectoryFeed.Parts mParts;
    private final DirectoryLog mLog;
    private final PendingRead mQuery;
    private final RetryBackoff mRetryBackoff;
    private volatile boolean mIsLost;
    private volatile long mQueriedAtMillis = NOT_QUERIED;
    private long mNextRetryMillis;

    /**
     * Creates a link that is not lost.
     *
     * @param parts what the feed works with
     * @param log takes when the platform is lost and regained
     * @param onPage takes what the platform answers to the question
     */
    PlatformLink(DirectoryFeed.Parts parts, DirectoryLog log, PendingRead.PageListener onPage) {
        mParts = Checks.notNull("parts", parts);
        mLog = Checks.notNull("log", log);
        mQuery = new PendingRead(parts.worker(), onPage);
        mRetryBackoff = new RetryBackoff(parts.random());
    }

    /** Returns whether the last call to the platform failed. */
    boolean isLost() {
        return mIsLost;
    }

    /** Returns whether the last call failed, or the question is unanswered for too long. */
    boolean isUnavailable() {
        long askedMillis = mQueriedAtMillis;
        return mIsLost
                || (askedMillis != NOT_QUERIED
                        && mParts.ticker().millis() - askedMillis
                                >= mParts.times().platformTimeoutMillis());
    }

    /** Returns when a lost platform is to be tried again. */
    long nextRetryMillis() {
        return mNextRetryMillis;
    }

    /** Asks what changed after a revision; returns false if such a question is under way. */
    boolean query(long revision, long nowMillis, PendingRead.CompletionListener end) {
        if (mQuery.isInProgress()) {
            return false;
        }
        mQueriedAtMillis = nowMillis;
        mQuery.start(
                mParts.platform(),
                new PendingRead.Query(revision, 0),
                nowMillis + DirectoryFeed.ANSWER_TIMEOUT_MILLIS,
                end);
        return true;
    }

    /** Notes an answer, or that others have one. */
    void recordAnswer(long revision) {
        mQueriedAtMillis = NOT_QUERIED;
        mRetryBackoff.reset();
        if (mIsLost) {
            mIsLost = false;
            mLog.logPlatformRegained(revision);
        }
    }

    /** Notes a call that failed. */
    void recordFailure(String reason, long revision, ReaderTree tree, long nowMillis) {
        mQueriedAtMillis = NOT_QUERIED;
        mNextRetryMillis = nowMillis + mRetryBackoff.nextMillis(tree);
        if (!mIsLost) {
            mIsLost = true;
            mLog.logPlatformLost(reason, revision);
        }
    }

    /** Ends a question that is due. */
    void expire(long nowMillis) {
        mQuery.expire(nowMillis);
    }

    /** Gives a question up. */
    void cancel() {
        mQueriedAtMillis = NOT_QUERIED;
        mQuery.cancel();
    }
}
