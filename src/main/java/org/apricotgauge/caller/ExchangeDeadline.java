package org.apricotgauge.caller;

import java.util.concurrent.TimeUnit;
import org.apricotgauge.stop.StopPolicy;
import org.apricotgauge.stop.StopSchedule;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * When an exchange ends at the latest: at its caller's deadline, or with this node if that is
 * sooner. Thread-safe.
 */
final class ExchangeDeadline {
    private final EntryContext mContext;
    private final CallerRequest mCallerRequest;
    private final long mMillis;
    private volatile Scheduler.Task mTask;

    ExchangeDeadline(EntryContext context, CallerRequest callerRequest) {
        mContext = context;
        mCallerRequest = callerRequest;
        mMillis = context.ticker().millis() + callerRequest.timeoutMillis();
    }

    /** Calls back once the caller's deadline has passed, unless cancelled. */
    void start(Runnable onPassed) {
        mTask =
                mContext.scheduler()
                        .schedule(
                                onPassed,
                                Math.max(1, callerRemainingMillis()),
                                TimeUnit.MILLISECONDS);
    }

    void cancel() {
        Scheduler.Task task = mTask;
        if (task != null) {
            task.cancel();
        }
    }

    /** Returns the deadline in the entry's clock, in milliseconds. */
    long millis() {
        return mContext.stop().hasBegun()
                ? mContext.ticker().millis() + remainingMillis()
                : mMillis;
    }

    /** Returns the milliseconds left to the deadline; not positive once it has passed. */
    long remainingMillis() {
        return Math.min(callerRemainingMillis(), mContext.stop().remainingMillis());
    }

    /** Returns the milliseconds left to the soft deadline; not positive once it has passed. */
    long softRemainingMillis() {
        return softRemainingMillis(remainingMillis());
    }

    /**
     * Returns whether a request that has not run yet is likely to end before this node does. A
     * likely end suffices for any request: no other node can answer its caller.
     *
     * <p>A nested call is served in the first half of the stop regardless: refusing it fails a run
     * that is in flight. Later, it would be cut with that run.
     */
    boolean fitsOwnStop(boolean isNestedCall) {
        StopSchedule stop = mContext.stop();
        if (!stop.hasBegun()) {
            return true;
        }
        long remainingMillis = stop.remainingMillis();
        boolean isInFirstHalf = stop.elapsedMillis() < remainingMillis;
        if (isNestedCall && isInFirstHalf) {
            return true;
        }
        return fits(callerRemainingMillis(), true, remainingMillis);
    }

    /**
     * Returns whether an attempt fits the time that a stopping guard has left.
     *
     * @param canReplay whether the body can be sent again
     */
    boolean fitsGuardStop(long stopMillis, boolean canReplay) {
        return fits(remainingMillis(), mCallerRequest.idempotent() && canReplay, stopMillis);
    }

    private boolean fits(long deadlineMillis, boolean mayRepeat, long stopMillis) {
        long overdueMillis =
                mContext.runTimes()
                        .overdueMillis(
                                mCallerRequest.route().id(), softRemainingMillis(deadlineMillis));
        return StopPolicy.fits(overdueMillis, deadlineMillis, mayRepeat, stopMillis);
    }

    private long softRemainingMillis(long withoutTargetMillis) {
        Long targetMillis = mCallerRequest.route().targetLatencyMillis();
        long passedMillis = mCallerRequest.timeoutMillis() - callerRemainingMillis();
        return targetMillis == null ? withoutTargetMillis : targetMillis - passedMillis;
    }

    private long callerRemainingMillis() {
        return mMillis - mContext.ticker().millis();
    }
}
