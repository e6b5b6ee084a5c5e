package org.apricotgauge.directory;

import java.util.concurrent.Executor;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;

/**
 * A read of published items with a timeout; at most one is in progress at a time.
 *
 * <pre>{@code
 * read.start(source, new PendingRead.Query(position, waitMillis), deadlineMillis, listener);
 * read.expire(nowMillis);     // every tick
 * }</pre>
 *
 * <p>Not thread-safe; all listeners run on the worker.
 */
final class PendingRead {
    private final Executor mWorker;
    private final PageListener mPageListener;
    private long mReadNumber;
    private boolean mIsInProgress;
    private long mDeadlineMillis;
    private CompletionListener mCompletionListener;

    /** Receives every page, also of cancelled and timed out reads. */
    @FunctionalInterface
    interface PageListener {
        /**
         * Called with each page.
         *
         * @param page the page
         * @param isTimely whether it answers the present read; a late page still contains changes,
         *     but may have been delayed anywhere for any time
         */
        void onPage(PublishedPage page, boolean isTimely);
    }

    /** Receives the end of a read, unless it is cancelled or replaced. */
    interface CompletionListener {
        /** Called after an answer. */
        void onAnswered(PublishedPage page);

        /** Called after a rejection, a failure or a timeout. */
        void onFailed(String reason);
    }

    /**
     * The parameters of a read.
     *
     * @param after position that the reader has
     * @param waitMillis how long the source may wait for a change; 0 answers at once
     */
    record Query(StorePosition after, long waitMillis) {}

    /** Creates an instance without a read in progress. */
    PendingRead(Executor worker, PageListener pageListener) {
        mWorker = Checks.notNull("worker", worker);
        mPageListener = Checks.notNull("pageListener", pageListener);
    }

    /** Returns whether a read is in progress. */
    boolean isInProgress() {
        return mIsInProgress;
    }

    /** Starts a read; one in progress is cancelled without notice to its listener. */
    void start(
            PublishedSource source, Query query, long deadlineMillis, CompletionListener listener) {
        long readNumber = ++mReadNumber;
        mIsInProgress = true;
        mDeadlineMillis = deadlineMillis;
        mCompletionListener = listener;
        source.read(query.after(), query.waitMillis())
                .whenCompleteAsync((page, failure) -> complete(readNumber, page, failure), mWorker);
    }

    private void complete(long readNumber, PublishedPage page, Throwable failure) {
        boolean isTimely = readNumber == mReadNumber && mIsInProgress;
        if (failure == null) {
            mPageListener.onPage(page, isTimely);
        }
        if (!isTimely) {
            return;
        }
        mIsInProgress = false;
        if (failure == null) {
            mCompletionListener.onAnswered(page);
        } else {
            mCompletionListener.onFailed(failure.toString());
        }
    }

    /** Fails the read if it timed out. */
    void expire(long nowMillis) {
        if (mIsInProgress && nowMillis >= mDeadlineMillis) {
            mIsInProgress = false;
            mCompletionListener.onFailed("no answer in time");
        }
    }

    /** Cancels the read without notice to its listener. */
    void cancel() {
        mIsInProgress = false;
    }
}
