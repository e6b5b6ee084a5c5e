package org.apricotgauge.decision.gossip;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.model.Checks;

/**
 * Decides whether this process may act on cached state, or was paused and needs a confirmation
 * first.
 *
 * <pre>{@code
 * if (!stalenessGate.mayAct(ticker.millis())) {
 *     return answer.notRun(RETRY_AFTER_ONE_SECOND);
 * }
 * }</pre>
 *
 * <p>A process that was paused (SIGSTOP, a suspended VM) resumes with the configuration and the
 * list of leaving targets from before the pause. Acting on them, it would send requests to targets
 * that left long ago. After a gap between two ticks it therefore waits until a peer or the platform
 * confirms its position. Without a response within {@code confirmationTimeoutMillis} it proceeds:
 * it is then disconnected, and the side of a partition that still has callers serves them.
 *
 * <p>The suspension of a VM is visible only on the wall clock, since the monotonic clock stops
 * meanwhile; but the wall clock also jumps in both directions. A forward jump is taken for a pause
 * and costs one confirmation. The wait for the confirmation is measured on the monotonic clock: on
 * the wall clock, a backward jump would make an unconfirmed node reject all requests for the length
 * of the jump. This class is thread-safe.
 */
public final class StalenessGate {
    private static final long NOT_RESUMED = Long.MIN_VALUE;

    private final long mPauseThresholdMillis;
    private final long mConfirmationTimeoutMillis;
    private final AtomicReference<ClockReading> mLastTick;
    private final AtomicLong mResumedAtMonotonicMillis = new AtomicLong(NOT_RESUMED);

    private record ClockReading(long monotonicMillis, long wallMillis) {
        /** Returns the longer of the times elapsed on the two clocks, in milliseconds. */
        long elapsedMillis(ClockReading later) {
            return Math.max(later.monotonicMillis - monotonicMillis, later.wallMillis - wallMillis);
        }
    }

    /**
     * Creates a gate for a process with one clock, which continues during pauses.
     *
     * @param pauseThresholdMillis a longer gap between ticks is a pause
     * @param confirmationTimeoutMillis how long to wait for a confirmation after a pause
     * @param nowMillis the current time
     */
    public StalenessGate(
            long pauseThresholdMillis, long confirmationTimeoutMillis, long nowMillis) {
        this(pauseThresholdMillis, confirmationTimeoutMillis, nowMillis, nowMillis);
    }

    /**
     * Creates a gate.
     *
     * @param pauseThresholdMillis a longer gap between ticks, on either clock, is a pause
     * @param confirmationTimeoutMillis how long to wait for a confirmation after a pause
     * @param monotonicMillis the current time of the monotonic clock
     * @param wallMillis the current time of the wall clock
     */
    public StalenessGate(
            long pauseThresholdMillis,
            long confirmationTimeoutMillis,
            long monotonicMillis,
            long wallMillis) {
        mPauseThresholdMillis =
                Checks.inRange("pauseThresholdMillis", pauseThresholdMillis, 1, Long.MAX_VALUE);
        mConfirmationTimeoutMillis =
                Checks.inRange(
                        "confirmationTimeoutMillis", confirmationTimeoutMillis, 0, Long.MAX_VALUE);
        mLastTick = new AtomicReference<>(new ClockReading(monotonicMillis, wallMillis));
    }

    /**
     * Records a tick of a process with one clock; returns whether the process has just resumed from
     * a pause.
     */
    public boolean onTick(long nowMillis) {
        return onTick(nowMillis, nowMillis);
    }

    /** Records a tick; returns whether the process has just resumed from a pause. */
    public boolean onTick(long monotonicMillis, long wallMillis) {
        ClockReading now = new ClockReading(monotonicMillis, wallMillis);
        boolean hasResumed = mLastTick.getAndSet(now).elapsedMillis(now) > mPauseThresholdMillis;
        if (hasResumed) {
            mResumedAtMonotonicMillis.set(monotonicMillis);
        }
        return hasResumed;
    }

    /** Records a confirmation, received in response to a request sent after the pause. */
    public void onConfirmed() {
        mResumedAtMonotonicMillis.set(NOT_RESUMED);
    }

    /** Returns whether a process with one clock may act on cached state. */
    public boolean mayAct(long nowMillis) {
        return mayAct(nowMillis, nowMillis);
    }

    /** Returns whether the process may act on cached state. */
    public boolean mayAct(long monotonicMillis, long wallMillis) {
        // Covers a request that is read after a pause but before the first tick of the control
        // thread.
        if (mLastTick.get().elapsedMillis(new ClockReading(monotonicMillis, wallMillis))
                > mPauseThresholdMillis) {
            return false;
        }
        long resumedAtMillis = mResumedAtMonotonicMillis.get();
        return resumedAtMillis == NOT_RESUMED
                || monotonicMillis - resumedAtMillis > mConfirmationTimeoutMillis;
    }
}
