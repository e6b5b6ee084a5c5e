package org.apricotgauge.directory;

import org.apricotgauge.decision.gossip.StalenessGate;
import org.apricotgauge.time.SuspendAwareClock;

/**
 * How old a node's view of the site is, and whether the node has heard anything since it last woke.
 *
 * <p>Kept by a clock that counts suspensions too. Thread-safe, but for what ticks and reads do.
 */
final class ViewAgeTracker {
    /** A longer gap between two ticks counts as a pause of the process. */
    private static final long PAUSE_THRESHOLD_MILLIS = 1_500;

    /** After a pause a node waits so long for somebody to confirm what it knows. */
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 1_000;

    private final DirectoryFeed.Parts mParts;
    private final SuspendAwareClock mElapsed;
    private final ConfirmationTracker mConfirmations;
    private final StalenessGate mStalenessGate;
    private volatile boolean mWasRead;

    ViewAgeTracker(DirectoryFeed.Parts parts, SuspendAwareClock elapsed) {
        mParts = parts;
        mElapsed = elapsed;
        mConfirmations = new ConfirmationTracker(parts.times(), elapsed.millis());
        mStalenessGate =
                new StalenessGate(
                        PAUSE_THRESHOLD_MILLIS,
                        CONFIRMATION_TIMEOUT_MILLIS,
                        parts.ticker().millis(),
                        parts.wallMillis().getAsLong());
    }

    /** Returns the present time, by the clock that ages are kept by. */
    long elapsedMillis() {
        return mElapsed.millis();
    }

    /** Returns the time since the last confirmation, in milliseconds. */
    long ageMillis() {
        return mConfirmations.ageMillis(mElapsed.millis());
    }

    /** Returns the time since the last confirmation that this node read, in milliseconds. */
    long reportedMillis() {
        return mConfirmations.reportedAgeMillis(mElapsed.millis());
    }

    /** Returns how long a target keeps its place whose registration is now found to have ended. */
    long retentionMillis() {
        long nowMillis = mElapsed.millis();
        return mConfirmations.retainUntilMillis(nowMillis) - nowMillis;
    }

    /** Returns whether anything was ever read that tells its age. */
    boolean wasRead() {
        return mWasRead;
    }

    /** Returns whether the node has heard something since its last pause, or waited for long. */
    boolean mayAct() {
        return mStalenessGate.mayAct(mParts.ticker().millis(), mParts.wallMillis().getAsLong());
    }

    /** Notes that the node runs; returns whether it woke from a pause just now. */
    boolean onTick() {
        boolean woke =
                mStalenessGate.onTick(mParts.ticker().millis(), mParts.wallMillis().getAsLong());
        if (woke) {
            mConfirmations.reset();
        }
        return woke;
    }

    /** Notes a page that was read and lacks nothing that the node knows. */
    void recordRead(PublishedPage page) {
        long nowMillis = mElapsed.millis();
        mConfirmations.recordRead(nowMillis - page.ageMillis(), nowMillis);
        mStalenessGate.onConfirmed();
        mWasRead = true;
    }

    /** Notes that another node told that at that time the platform held nothing that is unknown. */
    void recordPeerConfirmation(long atMillis) {
        mConfirmations.recordPeerConfirmation(atMillis, mElapsed.millis());
    }

    /** Notes that at that time the platform answered this node or another. */
    void recordPlatformAnswer(long atMillis) {
        mConfirmations.recordPlatformAnswer(atMillis, mElapsed.millis());
    }
}
