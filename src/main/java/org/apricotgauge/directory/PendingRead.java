package org.apricotgauge.directory;

import java.util.concurrent.Executor;
import org.apricotgauge.model.Checks;

/**
 * One read at a time of what the platform published, with the time by which it must be answered.
 *
 * <pre>{@code
 * watch.begin(source, new PendingRead.Question(revision, waitMillis), dueMillis, end);
 * watch.expire(nowMillis);     // every tick
 * }</pre>
 *
 * <p>Not thread-safe: all that hears of a read runs on the worker.
 */
final class PendingRead {
    private final Executor mWorker;
    private final PageListener mPageListener;
    private long mReadNumber;
    private boolean mIsInProgress;
    private long mDeadlineMillis;
    private CompletionListener mCompletionListener;

    /** Hears of every page. */
    @FunctionalInterface
    interface PageListener {
        /**
         * Takes a page.
         *
         * @param page the page
         * @param inTime whether it answers the present read; one that comes late still brings news,
         *     but may have waited anywhere for any time
         */
        void onPage(PublishedPage page, boolean inTime);
    }

    /** Hears how a read ended. */
    interface CompletionListener {
        /** It was answered. */
        void answered(PublishedPage page);

        /** It was refused, failed, or was not answered in time. */
        void failed(String reason);
    }

    /**
     * What is asked.
     *
     * @param afterRevision revision that the reader has; 0 for none
     * @param waitMillis how long the source may wait for a change; 0 answers at once
     */
    record Query(long afterRevision, long waitMillis) {}

    /** Creates a read that is not under way. */
    PendingRead(Executor worker, PageListener onPage) {
        mWorker = Checks.notNull("worker", worker);
        mPageListener = Checks.notNull("onPage", onPage);
    }

    /** Returns whether a read has begun that has not ended. */
    boolean isInProgress() {
        return mIsInProgress;
    }

    /** Begins a read; the one before, if it is under way, ends unheard. */
    void start(PublishedSource source, Query question, long dueMillis, CompletionListener end) {
        long number = ++mReadNumber;
        mIsInProgress = true;
        mDeadlineMillis = dueMillis;
        mCompletionListener = end;
        source.read(question.afterRevision(), question.waitMillis())
                .whenCompleteAsync((page, failure) -> complete(number, page, failure), mWorker);
    }

    private void complete(long number, PublishedPage page, Throwable failure) {
        boolean inTime = number == mReadNumber && mIsInProgress;
        if (failure == null) {
            mPageListener.onPage(page, inTime);
        }
        if (!inTime) {
            return;
        }
        mIsInProgress = false;
        if (failure == null) {
            mCompletionListener.answered(page);
        } else {
            mCompletionListener.failed(failure.toString());
        }
    }

    /** Ends the read as failed if it is due. */
    void expire(long nowMillis) {
        if (mIsInProgress && nowMillis >= mDeadlineMillis) {
            mIsInProgress = false;
            mCompletionListener.failed("no answer in time");
        }
    }

    /** Gives the read up; nobody hears of its end. */
    void cancel() {
        mIsInProgress = false;
    }
}
