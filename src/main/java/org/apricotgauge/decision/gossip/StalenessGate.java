package org.apricotgauge.decision.gossip;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
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
 * side of a partition that still has callers serves them.
 *
 * <p>A suspended VM shows only in the time of day, since its steady clock stands still; but the
 * time of day also jumps, both ways. A jump ahead passes for a pause, and costs one question. The
 * wait for its answer is measured on the steady clock: on the other, a jump back would make a node
 * that nobody confirms refuse all work for as long as the jump is wide. Safe to share between
 * threads.
 */
public final class StalenessGate {
    private static final long NOT_RESUMED = Long.MIN_VALUE;

    private final long mPauseThresholdMillis;
    private final long mConfirmationTimeoutMillis;
    private final AtomicReference<ClockReading> mLastTick;
    private final AtomicLong mResumedAtMonotonicMillis = new AtomicLong(NOT_RESUMED);

    private record ClockReading(long monotonicMillis, long wallMillis) {
        /** Returns the longer of the times that have passed on the two clocks, in milliseconds. */
        long elapsedMillis(ClockReading later) {
            return Math.max(later.monotonicMillis - monotonicMillis, later.wallMillis - wallMillis);
        }
    }

    /**
     * Creates a guard of a process with one clock, which goes on during pauses.
     *
     * @param pauseMillis a longer gap between ticks counts as a pause
     * @param confirmMillis how long to wait for a confirmation after a pause
     * @param nowMillis present time
     */
    public StalenessGate(long pauseMillis, long confirmMillis, long nowMillis) {
        this(pauseMillis, confirmMillis, nowMillis, nowMillis);
    }

    /**
     * Creates a guard.
     *
     * @param pauseMillis a longer gap between ticks, on either clock, counts as a pause
     * @param confirmMillis how long to wait for a confirmation after a pause
     * @param steadyMillis present reading of the steady clock
     * @param wallMillis present time of day
     */
    public StalenessGate(long pauseMillis, long confirmMillis, long steadyMillis, long wallMillis) {
        mPauseThresholdMillis = Checks.inRange("pauseMillis", pauseMillis, 1, Long.MAX_VALUE);
        mConfirmationTimeoutMillis =
                Checks.inRange("confirmMillis", confirmMillis, 0, Long.MAX_VALUE);
        mLastTick = new AtomicReference<>(new ClockReading(steadyMillis, wallMillis));
    }

    /** Notes that the process runs, by its one clock; returns whether it woke just now. */
    public boolean onTick(long nowMillis) {
        return onTick(nowMillis, nowMillis);
    }

    /** Notes that the process runs; returns whether it woke from a pause just now. */
    public boolean onTick(long steadyMillis, long wallMillis) {
        ClockReading now = new ClockReading(steadyMillis, wallMillis);
        boolean woke = mLastTick.getAndSet(now).elapsedMillis(now) > mPauseThresholdMillis;
        if (woke) {
            mResumedAtMonotonicMillis.set(steadyMillis);
        }
        return woke;
    }

    /** Notes that somebody confirmed, in answer to a question put after the pause. */
    public void onConfirmed() {
        mResumedAtMonotonicMillis.set(NOT_RESUMED);
    }

    /** Returns whether old state may be acted on, by the process's one clock. */
    public boolean mayAct(long nowMillis) {
        return mayAct(nowMillis, nowMillis);
    }

    /** Returns whether old state may be acted on. */
    public boolean mayAct(long steadyMillis, long wallMillis) {
        // This clause covers the moment after waking at which a request is read before the control
        // thread has had its first tick.
        if (mLastTick.get().elapsedMillis(new ClockReading(steadyMillis, wallMillis))
                > mPauseThresholdMillis) {
            return false;
        }
        long wokeAtMillis = mResumedAtMonotonicMillis.get();
        return wokeAtMillis == NOT_RESUMED
                || steadyMillis - wokeAtMillis > mConfirmationTimeoutMillis;
    }
}
