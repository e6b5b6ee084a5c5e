package org.apricotgauge.directory;

import org.apricotgauge.decision.gossip.StalenessGate;
import org.apricotgauge.time.SuspendAwareClock;

/**
 * Tracks the age of a node's view of the site, and whether it was confirmed since the last pause.
 *
 * <p>Ages are measured by a clock that includes suspensions. Thread-safe, except the methods called
 * on ticks and reads.
 */
final class ViewAgeTracker {
    /** A longer gap between two ticks counts as a pause of the process. */
    private static final long PAUSE_THRESHOLD_MILLIS = 1_500;

    /** How long a node waits after a pause for a confirmation of its view. */
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 1_000;

    private final FeedParts mParts;
    private final SuspendAwareClock mClock;
    private final ConfirmationTracker mConfirmations;
    private final StalenessGate mStalenessGate;
    private volatile boolean mWasRead;

    ViewAgeTracker(FeedParts parts, SuspendAwareClock clock) {
        mParts = parts;
        mClock = clock;
        mConfirmations = new ConfirmationTracker(parts.times(), clock.millis());
        mStalenessGate =
                new StalenessGate(
                        PAUSE_THRESHOLD_MILLIS,
                        CONFIRMATION_TIMEOUT_MILLIS,
                        parts.ticker().millis(),
                        parts.wallMillis().getAsLong());
    }

    /** Returns the present time of the clock by which ages are measured. */
    long elapsedMillis() {
        return mClock.millis();
    }

    /** Returns the time since the last confirmation, in milliseconds. */
    long ageMillis() {
        return mConfirmations.ageMillis(mClock.millis());
    }

    /** Returns the age to report to other nodes: since the last read, in milliseconds. */
    long reportedAgeMillis() {
        return mConfirmations.reportedAgeMillis(mClock.millis());
    }

    /** Returns how long to retain a target whose registration is now found to have ended. */
    long retentionMillis() {
        long nowMillis = mClock.millis();
        return mConfirmations.retainUntilMillis(nowMillis) - nowMillis;
    }

    /** Returns whether a page of known age was ever read. */
    boolean wasRead() {
        return mWasRead;
    }

    /** Returns whether the view was confirmed since the last pause, or the wait timed out. */
    boolean mayAct() {
        return mStalenessGate.mayAct(mParts.ticker().millis(), mParts.wallMillis().getAsLong());
    }

    /** Called on every tick; returns whether the node has just resumed from a pause. */
    boolean onTick() {
        boolean resumed =
                mStalenessGate.onTick(mParts.ticker().millis(), mParts.wallMillis().getAsLong());
        if (resumed) {
            mConfirmations.reset();
        }
        return resumed;
    }

    /** Records a page that was read and is not older than the node's items. */
    void recordRead(PublishedPage page) {
        long nowMillis = mClock.millis();
        mConfirmations.recordRead(nowMillis - page.ageMillis(), nowMillis);
        mStalenessGate.onConfirmed();
        mWasRead = true;
    }

    /** Discards the confirmations of a view whose era was unknown, as its era is known now. */
    void discardConfirmations() {
        mConfirmations.reset();
    }

    /** Records that the platform's store was restored from a copy, as this node has just read. */
    void recordRestore() {
        mConfirmations.recordRestore(mClock.millis());
    }

    /** Records another node's answer that the platform then held nothing that this node lacks. */
    void recordPeerConfirmation(long atMillis) {
        mConfirmations.recordPeerConfirmation(atMillis, mClock.millis());
    }

    /** Records that the platform answered this node or another at that time. */
    void recordPlatformAnswer(long atMillis) {
        mConfirmations.recordPlatformAnswer(atMillis, mClock.millis());
    }
}
