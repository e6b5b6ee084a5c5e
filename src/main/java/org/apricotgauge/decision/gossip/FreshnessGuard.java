package org.apricotgauge.decision.gossip;

import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.model.Checks;

/**
 * Tells whether this process may act on what it knows, or has slept and must ask first.
 *
 * <pre>{@code
 * if (!freshness.mayAct(ticker.millis())) {
 *     return answer.notRun(RETRY_AFTER_ONE_SECOND);
 * }
 * }</pre>
 *
 * <p>A process that was paused (SIGSTOP, a frozen VM) wakes with the configuration and the list of
 * leaving targets of the moment it stopped. Acting on them, it would send work to targets that left
 * long ago. So after a gap between two ticks it waits for a peer or the platform to confirm its
 * position. If nobody answers within {@code confirmMillis} it goes on: it is then cut off, and the
 * side of a partition that still has callers serves them. Safe to share between threads.
 */
public final class FreshnessGuard {
    private static final long NOT_WOKEN = Long.MIN_VALUE;

    private final long mPauseMillis;
    private final long mConfirmMillis;
    private final AtomicLong mLastTickMillis;
    private final AtomicLong mWokeAtMillis = new AtomicLong(NOT_WOKEN);

    /**
     * Creates a guard.
     *
     * @param pauseMillis a longer gap between ticks counts as a pause
     * @param confirmMillis how long to wait for a confirmation after a pause
     * @param nowMillis present time
     */
    public FreshnessGuard(long pauseMillis, long confirmMillis, long nowMillis) {
        mPauseMillis = Checks.inRange("pauseMillis", pauseMillis, 1, Long.MAX_VALUE);
        mConfirmMillis = Checks.inRange("confirmMillis", confirmMillis, 0, Long.MAX_VALUE);
        mLastTickMillis = new AtomicLong(nowMillis);
    }

    /** Notes that the process runs; returns whether it woke from a pause just now. */
    public boolean onTick(long nowMillis) {
        boolean woke = nowMillis - mLastTickMillis.get() > mPauseMillis;
        if (woke) {
            mWokeAtMillis.set(nowMillis);
        }
        mLastTickMillis.set(nowMillis);
        return woke;
    }

    /** Notes that somebody confirmed, in answer to a question put after the pause. */
    public void onConfirmed() {
        mWokeAtMillis.set(NOT_WOKEN);
    }

    /** Returns whether old state may be acted on. */
    public boolean mayAct(long nowMillis) {
        // The first clause covers the moment after waking at which a request is read before the
        // control thread has had its first tick.
        if (nowMillis - mLastTickMillis.get() > mPauseMillis) {
            return false;
        }
        long wokeAtMillis = mWokeAtMillis.get();
        return wokeAtMillis == NOT_WOKEN || nowMillis - wokeAtMillis > mConfirmMillis;
    }
}
