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
    private final OnPage mOnPage;
    private long mNumber;
    private boolean mUnderWay;
    private long mDueMillis;
    private End mEnd;

    /** Hears of every page. */
    @FunctionalInterface
    interface OnPage {
        /**
         * Takes a page.
         *
         * @param page the page
         * @param inTime whether it answers the present read; one that comes late still brings news,
         *     but may have waited anywhere for any time
         */
        void take(PublishedPage page, boolean inTime);
    }

    /** Hears how a read ended. */
    interface End {
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
    record Question(long afterRevision, long waitMillis) {}

    /** Creates a read that is not under way. */
    PendingRead(Executor worker, OnPage onPage) {
        mWorker = Checks.notNull("worker", worker);
        mOnPage = Checks.notNull("onPage", onPage);
    }

    /** Returns whether a read has begun that has not ended. */
    boolean isUnderWay() {
        return mUnderWay;
    }

    /** Begins a read; the one before, if it is under way, ends unheard. */
    void begin(PublishedSource source, Question question, long dueMillis, End end) {
        long number = ++mNumber;
        mUnderWay = true;
        mDueMillis = dueMillis;
        mEnd = end;
        source.read(question.afterRevision(), question.waitMillis())
                .whenCompleteAsync((page, failure) -> settle(number, page, failure), mWorker);
    }

    private void settle(long number, PublishedPage page, Throwable failure) {
        boolean inTime = number == mNumber && mUnderWay;
        if (failure == null) {
            mOnPage.take(page, inTime);
        }
        if (!inTime) {
            return;
        }
        mUnderWay = false;
        if (failure == null) {
            mEnd.answered(page);
        } else {
            mEnd.failed(failure.toString());
        }
    }

    /** Ends the read as failed if it is due. */
    void expire(long nowMillis) {
        if (mUnderWay && nowMillis >= mDueMillis) {
            mUnderWay = false;
            mEnd.failed("no answer in time");
        }
    }

    /** Gives the read up; nobody hears of its end. */
    void drop() {
        mUnderWay = false;
    }
}
