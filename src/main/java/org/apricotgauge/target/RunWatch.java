package org.apricotgauge.target;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.health.HealthGate;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * What one run at a target shows of the target, while it goes on and when it ends.
 *
 * <pre>{@code
 * watch.begin(leftMillis, patienceMillis);
 * watch.end(ObservedOutcome.SUCCESS, serviceMicros);
 * }</pre>
 *
 * <p>What fails does so early, so that a run that goes on tells of health long before its answer;
 * one that goes on for too long tells of a target that hangs, seconds before its deadline. How a
 * run ended is told once. Thread-safe.
 */
final class RunWatch {
    private final GuardContext mContext;
    private final TargetGate mGate;
    private final RunIdentity mIdentity;
    private final AtomicBoolean mObserved = new AtomicBoolean();
    private volatile HealthGate.Run mRun;
    private volatile Scheduler.Task mHealthCheck;
    private volatile Scheduler.Task mOverdue;

    RunWatch(GuardContext context, TargetGate gate, RunIdentity identity) {
        mContext = context;
        mGate = gate;
        mIdentity = identity;
    }

    /**
     * Notes that the run starts, just before its first byte.
     *
     * @param leftMillis time left to the request's deadline
     * @param patienceMillis time after which the run is taken for hung
     */
    void begin(long leftMillis, long patienceMillis) {
        HealthGate.Run run = mGate.health().started(mContext.ticker().millis());
        mRun = run;
        if (run.checkMillis() < leftMillis) {
            mHealthCheck =
                    mContext.scheduler()
                            .schedule(
                                    () -> stillRuns(run), run.checkMillis(), TimeUnit.MILLISECONDS);
        }
        long overdueMicros =
                Math.min(
                        mContext.observer().overdueMicros(mGate.target()),
                        TimeUnit.MILLISECONDS.toMicros(patienceMillis));
        if (overdueMicros < TimeUnit.MILLISECONDS.toMicros(leftMillis)) {
            mOverdue =
                    mContext.scheduler()
                            .schedule(
                                    () -> observe(ObservedOutcome.OVERDUE, overdueMicros),
                                    overdueMicros,
                                    TimeUnit.MICROSECONDS);
        }
    }

    /** Takes in how the run ended. */
    void end(ObservedOutcome outcome, long serviceMicros) {
        cancel(mHealthCheck);
        cancel(mOverdue);
        observe(outcome, serviceMicros);
    }

    /**
     * Notes that the connection to the target broke before the answer was whole.
     *
     * @return completes once it is known whether the target has ended
     */
    CompletableFuture<Void> broken() {
        return mContext.exits().broken(mGate.target(), mIdentity.broken());
    }

    private void stillRuns(HealthGate.Run run) {
        if (!mObserved.get()) {
            mGate.health().stillRuns(run, mContext.ticker().millis());
            tellHealth();
        }
    }

    private void observe(ObservedOutcome outcome, long serviceMicros) {
        if (!mObserved.compareAndSet(false, true)) {
            return;
        }
        switch (outcome) {
            case SUCCESS -> showedHealth(false);
            case TARGET_ERROR, TIMEOUT, OVERDUE -> showedHealth(true);
            default -> {
                // Load, the path or the caller: nothing about the target's health.
            }
        }
        mContext.observer().observed(mGate.target(), outcome, serviceMicros);
    }

    private void showedHealth(boolean failed) {
        HealthGate.Run run = mRun;
        if (run != null) {
            mGate.health().ended(run, failed, mContext.ticker().millis());
            tellHealth();
        }
    }

    private void tellHealth() {
        mContext.observer().healthSeen(mGate.target(), mGate.healthTold(), mGate.loadPermille());
    }

    private static void cancel(Scheduler.Task task) {
        if (task != null) {
            task.cancel();
        }
    }
}
