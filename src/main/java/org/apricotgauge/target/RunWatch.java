package org.apricotgauge.target;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.ObjLongConsumer;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.health.HealthGate;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * What one run at a target shows of the target, while it goes on and when it ends.
 *
 * <pre>{@code
 * watch.begin("route-7", usefulMillis, leftMillis, this::hung);
 * watch.end(ObservedOutcome.SUCCESS, serviceMicros);
 * }</pre>
 *
 * <p>What fails does so early, so that a run that goes on tells of health long before its answer;
 * one that goes on for too long tells of a target that hangs, seconds before its deadline. How a
 * run ended is told once. Thread-safe.
 */
final class RunWatch {
    /** How often a run that is beyond its patience is looked at, in each patience. */
    private static final int LOOKS = 4;

    private final GuardContext mContext;
    private final TargetGate mGate;
    private final RunIdentity mIdentity;
    private final AtomicBoolean mObserved = new AtomicBoolean();
    private volatile HealthGate.Run mRun;
    private volatile long mStartMillis;
    private volatile long mUntilMillis;
    private volatile Scheduler.Task mHealthCheck;
    private volatile Scheduler.Task mHungCheck;
    private volatile Scheduler.Task mOverdue;

    RunWatch(GuardContext context, TargetGate gate, RunIdentity identity) {
        mContext = context;
        mGate = gate;
        mIdentity = identity;
    }

    /**
     * Notes that the run starts, just before its first byte.
     *
     * @param work name of the kind of work it is
     * @param usefulMillis time within which its answer is of full use
     * @param leftMillis time left to the request's deadline
     * @param whenHung called when it is better off at another target; perhaps more than once
     */
    void begin(String work, long usefulMillis, long leftMillis, Runnable whenHung) {
        long nowMillis = mContext.ticker().millis();
        HealthGate.Run run = mGate.health().started(work, nowMillis);
        mRun = run;
        mStartMillis = nowMillis;
        mUntilMillis = leftMillis;
        checkLater(run, 0);
        long patienceMillis = mGate.health().runTimeoutMillis(work, usefulMillis);
        lookLater(patienceMillis, patienceMillis, whenHung);
        long overdueMicros = mContext.observer().overdueMicros(mGate.target());
        if (overdueMicros < TimeUnit.MILLISECONDS.toMicros(leftMillis)) {
            mOverdue =
                    mContext.scheduler()
                            .schedule(
                                    () -> observe(ObservedOutcome.UNRESPONSIVE, overdueMicros),
                                    overdueMicros,
                                    TimeUnit.MICROSECONDS);
        }
    }

    private void lookLater(long atMillis, long patienceMillis, Runnable whenHung) {
        if (atMillis >= mUntilMillis) {
            return;
        }
        long passedMillis = mContext.ticker().millis() - mStartMillis;
        mHungCheck =
                mContext.scheduler()
                        .schedule(
                                () -> lookWhetherHung(atMillis, patienceMillis, whenHung),
                                Math.max(1, atMillis - passedMillis),
                                TimeUnit.MILLISECONDS);
    }

    private void lookWhetherHung(long atMillis, long patienceMillis, Runnable whenHung) {
        HealthGate.Run run = mRun;
        if (mObserved.get()) {
            return;
        }
        HealthGate.TimeoutDiagnosis silence =
                mGate.health().diagnoseTimeout(run, mContext.ticker().millis());
        if (silence == HealthGate.TimeoutDiagnosis.HUNG) {
            observe(ObservedOutcome.UNRESPONSIVE, TimeUnit.MILLISECONDS.toMicros(atMillis));
        } else {
            tellHealth();
            lookLater(atMillis + patienceMillis / LOOKS, patienceMillis, whenHung);
        }
        if (silence != HealthGate.TimeoutDiagnosis.SLOW) {
            whenHung.run();
        }
    }

    /** Takes in how the run ended. */
    void end(ObservedOutcome outcome, long serviceMicros) {
        cancel(mHealthCheck);
        cancel(mHungCheck);
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

    private void checkLater(HealthGate.Run run, long passedMillis) {
        long checkMillis = run.checkMillis();
        if (checkMillis < mUntilMillis) {
            mHealthCheck =
                    mContext.scheduler()
                            .schedule(
                                    () -> stillRuns(run),
                                    Math.max(1, checkMillis - passedMillis),
                                    TimeUnit.MILLISECONDS);
        }
    }

    private void stillRuns(HealthGate.Run run) {
        if (!mObserved.get()) {
            long nowMillis = mContext.ticker().millis();
            mGate.health().stillRunning(run, nowMillis);
            tellHealth();
            checkLater(run, nowMillis - mStartMillis);
        }
    }

    private void observe(ObservedOutcome outcome, long serviceMicros) {
        if (!mObserved.compareAndSet(false, true)) {
            return;
        }
        switch (outcome) {
            case SUCCESS -> showedHealth((run, now) -> mGate.health().ended(run, false, now));
            case TARGET_ERROR -> showedHealth((run, now) -> mGate.health().ended(run, true, now));
            case TIMEOUT, UNRESPONSIVE -> showedHealth(mGate.health()::endedWithoutAnswer);
            default -> {
                // Load, the path or the caller: nothing about the target's health.
            }
        }
        mContext.observer().observed(mGate.target(), outcome, serviceMicros);
    }

    private void showedHealth(ObjLongConsumer<HealthGate.Run> evidence) {
        HealthGate.Run run = mRun;
        if (run != null) {
            evidence.accept(run, mContext.ticker().millis());
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
