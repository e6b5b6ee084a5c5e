package org.apricotgauge.directory;

import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.StorePosition;

/**
 * Runs the reads that wait for changes of the site, one at a time.
 *
 * <p>Not thread-safe.
 */
final class SiteWatch {
    private final FeedParts mParts;
    private final PendingRead mRead;
    private boolean mWaitsForChange;
    private long mNextStartMillis;

    SiteWatch(FeedParts parts, PendingRead.PageListener pageListener) {
        mParts = Checks.notNull("parts", parts);
        mRead = new PendingRead(parts.worker(), pageListener);
        mNextStartMillis = Long.MIN_VALUE;
    }

    /** Returns whether to start a read. */
    boolean isDue(long nowMillis) {
        return !mRead.isInProgress() && nowMillis >= mNextStartMillis;
    }

    /** Returns whether a read is in progress. */
    boolean isInProgress() {
        return mRead.isInProgress();
    }

    /** Returns whether a read that waits for a change is in progress. */
    boolean isWaiting() {
        return mRead.isInProgress() && mWaitsForChange;
    }

    /**
     * Starts a read, and replaces one in progress.
     *
     * @param node the node to read from; null for the platform
     * @param after position that this node has
     * @param waitMillis how long to wait for a change; 0 to be answered at once
     * @param nowMillis present time
     * @param listener notified of its end
     */
    void start(
            Address node,
            StorePosition after,
            long waitMillis,
            long nowMillis,
            PendingRead.CompletionListener listener) {
        mWaitsForChange = waitMillis > 0;
        mRead.start(
                node == null ? mParts.platform() : mParts.peers().apply(node),
                new PendingRead.Query(after, waitMillis),
                nowMillis + waitMillis + DirectoryFeed.ANSWER_TIMEOUT_MILLIS,
                listener);
    }

    /** Cancels a read in progress; the next may start after a pause, in milliseconds. */
    void pause(long pauseMillis) {
        mRead.cancel();
        mNextStartMillis = mParts.ticker().millis() + pauseMillis;
    }

    /** Fails the read in progress if it timed out. */
    void expire(long nowMillis) {
        mRead.expire(nowMillis);
    }
}
