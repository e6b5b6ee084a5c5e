package org.apricotgauge.directory;

import org.apricotgauge.model.Checks;

/**
 * What a node knows of the platform's answering it, and the question that confirms its view.
 *
 * <p>Not thread-safe, but for {@link #isAway}.
 */
final class PlatformLink {
    private static final long NOT_ASKED = Long.MAX_VALUE;

    private final DirectoryFeed.Parts mParts;
    private final DirectoryLog mLog;
    private final PendingRead mQuestion;
    private final RetryPause mRetryPause;
    private volatile boolean mIsLost;
    private volatile long mAskedMillis = NOT_ASKED;
    private long mNextTryMillis;

    /**
     * Creates a link that is not lost.
     *
     * @param parts what the feed works with
     * @param log takes when the platform is lost and regained
     * @param onPage takes what the platform answers to the question
     */
    PlatformLink(DirectoryFeed.Parts parts, DirectoryLog log, PendingRead.OnPage onPage) {
        mParts = Checks.notNull("parts", parts);
        mLog = Checks.notNull("log", log);
        mQuestion = new PendingRead(parts.worker(), onPage);
        mRetryPause = new RetryPause(parts.random());
    }

    /** Returns whether the last call to the platform failed. */
    boolean isLost() {
        return mIsLost;
    }

    /** Returns whether the last call failed, or the question is unanswered for too long. */
    boolean isAway() {
        long askedMillis = mAskedMillis;
        return mIsLost
                || (askedMillis != NOT_ASKED
                        && mParts.ticker().millis() - askedMillis >= mParts.times().answerMillis());
    }

    /** Returns when a lost platform is to be tried again. */
    long nextTryMillis() {
        return mNextTryMillis;
    }

    /** Asks what changed after a revision; returns false if such a question is under way. */
    boolean ask(long revision, long nowMillis, PendingRead.End end) {
        if (mQuestion.isUnderWay()) {
            return false;
        }
        mAskedMillis = nowMillis;
        mQuestion.begin(
                mParts.platform(),
                new PendingRead.Question(revision, 0),
                nowMillis + DirectoryFeed.ANSWER_MILLIS,
                end);
        return true;
    }

    /** Notes an answer, or that others have one. */
    void answered(long revision) {
        mAskedMillis = NOT_ASKED;
        mRetryPause.reset();
        if (mIsLost) {
            mIsLost = false;
            mLog.regained(revision);
        }
    }

    /** Notes a call that failed. */
    void failed(String reason, long revision, ReaderTree tree, long nowMillis) {
        mAskedMillis = NOT_ASKED;
        mNextTryMillis = nowMillis + mRetryPause.nextMillis(tree);
        if (!mIsLost) {
            mIsLost = true;
            mLog.lost(reason, revision);
        }
    }

    /** Ends a question that is due. */
    void expire(long nowMillis) {
        mQuestion.expire(nowMillis);
    }

    /** Gives a question up. */
    void drop() {
        mAskedMillis = NOT_ASKED;
        mQuestion.drop();
    }
}
