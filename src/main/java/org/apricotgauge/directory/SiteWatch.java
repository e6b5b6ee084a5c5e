package org.apricotgauge.directory;

import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;

/**
 * The read that waits for changes of the site, one after the other.
 *
 * <p>Not thread-safe.
 */
final class SiteWatch {
    private final DirectoryFeed.Parts mParts;
    private final PendingRead mRead;
    private boolean mWaitsForChange;
    private long mNextStartMillis;

    SiteWatch(DirectoryFeed.Parts parts, PendingRead.PageListener onPage) {
        mParts = Checks.notNull("parts", parts);
        mRead = new PendingRead(parts.worker(), onPage);
        mNextStartMillis = Long.MIN_VALUE;
    }

    /** Returns whether a read is to begin. */
    boolean isDue(long nowMillis) {
        return !mRead.isInProgress() && nowMillis >= mNextStartMillis;
    }

    /** Returns whether a read is under way. */
    boolean isInProgress() {
        return mRead.isInProgress();
    }

    /** Returns whether a read is under way that waits for a change. */
    boolean isWaiting() {
        return mRead.isInProgress() && mWaitsForChange;
    }

    /**
     * Begins a read, in place of one that is under way.
     *
     * @param node the node to read from; null for the platform
     * @param afterRevision revision that is known
     * @param waitMillis how long to wait for a change; 0 asks at once
     * @param nowMillis present time
     * @param end hears how it ended
     */
    void start(
            Address node,
            long afterRevision,
            long waitMillis,
            long nowMillis,
            PendingRead.CompletionListener end) {
        mWaitsForChange = waitMillis > 0;
        mRead.start(
                node == null ? mParts.platform() : mParts.peers().apply(node),
                new PendingRead.Query(afterRevision, waitMillis),
                nowMillis + waitMillis + DirectoryFeed.ANSWER_TIMEOUT_MILLIS,
                end);
    }

    /** Gives up a read that is under way; the next begins after a pause, in milliseconds. */
    void pause(long pauseMillis) {
        mRead.cancel();
        mNextStartMillis = mParts.ticker().millis() + pauseMillis;
    }

    /** Ends a read that is due. */
    void expire(long nowMillis) {
        mRead.expire(nowMillis);
    }
}
