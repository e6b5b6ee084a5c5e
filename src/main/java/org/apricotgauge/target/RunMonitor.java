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
final class RunMonitor {
    /** How often a run that is beyond its patience is looked at, in each patience. */
    private static final int CHECKS_PER_TIMEOUT = 4;

    private final GuardContext mContext;
    private final TargetGate mGate;
    private final RunIdentity mIdentity;
    private final AtomicBoolean mOutcomeReported = new AtomicBoolean();
    private volatile HealthGate.Run mRun;
    private volatile long mStartMillis;
    private volatile long mMaxRunMillis;
    private volatile Scheduler.Task mHealthCheck;
    private volatile Scheduler.Task mHungCheck;
    private volatile Scheduler.Task mUnresponsiveCheck;

    RunMonitor(GuardContext context, TargetGate gate, RunIdentity identity) {
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
    void start(String work, long usefulMillis, long leftMillis, Runnable whenHung) {
        long nowMillis = mContext.ticker().millis();
        HealthGate.Run run = mGate.health().started(work, nowMillis);
        mRun = run;
        mStartMillis = nowMillis;
        mMaxRunMillis = leftMillis;
        scheduleHealthCheck(run, 0);
        long patienceMillis = mGate.health().runTimeoutMillis(work, usefulMillis);
        scheduleHungCheck(patienceMillis, patienceMillis, whenHung);
        long overdueMicros = mContext.observer().unresponsiveAfterMicros(mGate.target());
        if (overdueMicros < TimeUnit.MILLISECONDS.toMicros(leftMillis)) {
            mUnresponsiveCheck =
                    mContext.scheduler()
                            .schedule(
                                    () ->
                                            reportOutcome(
                                                    ObservedOutcome.UNRESPONSIVE, overdueMicros),
                                    overdueMicros,
                                    TimeUnit.MICROSECONDS);
        }
    }

    private void scheduleHungCheck(long atMillis, long patienceMillis, Runnable whenHung) {
        if (atMillis >= mMaxRunMillis) {
            return;
        }
        long passedMillis = mContext.ticker().millis() - mStartMillis;
        mHungCheck =
                mContext.scheduler()
                        .schedule(
                                () -> checkHung(atMillis, patienceMillis, whenHung),
                                Math.max(1, atMillis - passedMillis),
                                TimeUnit.MILLISECONDS);
    }

    private void checkHung(long atMillis, long patienceMillis, Runnable whenHung) {
        HealthGate.Run run = mRun;
        if (mOutcomeReported.get()) {
            return;
        }
        HealthGate.TimeoutDiagnosis silence =
                mGate.health().diagnoseTimeout(run, mContext.ticker().millis());
        if (silence == HealthGate.TimeoutDiagnosis.HUNG) {
            reportOutcome(ObservedOutcome.UNRESPONSIVE, TimeUnit.MILLISECONDS.toMicros(atMillis));
        } else {
            notifyHealth();
            scheduleHungCheck(
                    atMillis + patienceMillis / CHECKS_PER_TIMEOUT, patienceMillis, whenHung);
        }
        if (silence != HealthGate.TimeoutDiagnosis.SLOW) {
            whenHung.run();
        }
    }

    /** Takes in how the run ended. */
    void end(ObservedOutcome outcome, long serviceMicros) {
        cancel(mHealthCheck);
        cancel(mHungCheck);
        cancel(mUnresponsiveCheck);
        reportOutcome(outcome, serviceMicros);
    }

    /**
     * Notes that the connection to the target broke before the answer was whole.
     *
     * @return completes once it is known whether the target has ended
     */
    CompletableFuture<Void> reportBroken() {
        return mContext.exitDetector().reportBrokenRun(mGate.target(), mIdentity.toBrokenRun());
    }

    private void scheduleHealthCheck(HealthGate.Run run, long passedMillis) {
        long checkMillis = run.checkMillis();
        if (checkMillis < mMaxRunMillis) {
            mHealthCheck =
                    mContext.scheduler()
                            .schedule(
                                    () -> reportStillRunning(run),
                                    Math.max(1, checkMillis - passedMillis),
                                    TimeUnit.MILLISECONDS);
        }
    }

    private void reportStillRunning(HealthGate.Run run) {
        if (!mOutcomeReported.get()) {
            long nowMillis = mContext.ticker().millis();
            mGate.health().stillRunning(run, nowMillis);
            notifyHealth();
            scheduleHealthCheck(run, nowMillis - mStartMillis);
        }
    }

    private void reportOutcome(ObservedOutcome outcome, long serviceMicros) {
        if (!mOutcomeReported.compareAndSet(false, true)) {
            return;
        }
        switch (outcome) {
            case SUCCESS -> updateHealth((run, now) -> mGate.health().ended(run, false, now));
            case TARGET_ERROR -> updateHealth((run, now) -> mGate.health().ended(run, true, now));
            case TIMEOUT, UNRESPONSIVE -> updateHealth(mGate.health()::endedWithoutAnswer);
            default -> {
                // Load, the path or the caller: nothing about the target's health.
            }
        }
        mContext.observer().onOutcome(mGate.target(), outcome, serviceMicros);
    }

    private void updateHealth(ObjLongConsumer<HealthGate.Run> evidence) {
        HealthGate.Run run = mRun;
        if (run != null) {
            evidence.accept(run, mContext.ticker().millis());
            notifyHealth();
        }
    }

    private void notifyHealth() {
        mContext.observer()
                .onHealthObserved(mGate.target(), mGate.healthReport(), mGate.loadPermille());
    }

    private static void cancel(Scheduler.Task task) {
        if (task != null) {
            task.cancel();
        }
    }
}
