package org.apricotgauge.target;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.ObjLongConsumer;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.health.HealthGate;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Monitors one run and reports what it shows about the target's health, before and at its end.
 *
 * <pre>{@code
 * monitor.start("route-7", softRemainingMillis, remainingMillis, this::abortForFailover);
 * monitor.end(ObservedOutcome.SUCCESS, serviceMicros);
 * }</pre>
 *
 * <p>Failures occur early in a run. A run that continues is therefore evidence of health long
 * before its answer, and one that takes too long is evidence of a hung target seconds before its
 * deadline. The outcome of a run is reported once. Thread-safe.
 */
final class RunMonitor {
    /**
     * A run that has exceeded its timeout is checked at intervals of the timeout divided by this.
     */
    private static final int CHECKS_PER_TIMEOUT = 4;

    private final GuardContext mContext;
    private final TargetGate mGate;
    private final RunIdentity mIdentity;
    private final AtomicBoolean mOutcomeReported = new AtomicBoolean();
    private volatile HealthGate.Run mRun;
    private volatile long mStartMillis;
    private volatile long mMaxRunMillis;
    private volatile boolean mHung;
    private volatile boolean mEnded;
    private volatile Scheduler.Task mHealthCheck;
    private volatile Scheduler.Task mHungCheck;
    private volatile Scheduler.Task mUnresponsiveCheck;

    RunMonitor(GuardContext context, TargetGate gate, RunIdentity identity) {
        mContext = context;
        mGate = gate;
        mIdentity = identity;
    }

    /**
     * Starts monitoring, just before the run is sent.
     *
     * @param workKind kind of work of the request
     * @param softRemainingMillis time left to the request's soft deadline, in milliseconds
     * @param remainingMillis time left to the request's deadline, in milliseconds
     * @param onFailover called when the request should be retried at another target; may be called
     *     more than once
     */
    void start(
            String workKind, long softRemainingMillis, long remainingMillis, Runnable onFailover) {
        long nowMillis = mContext.ticker().millis();
        HealthGate.Run run = mGate.health().started(workKind, nowMillis);
        mRun = run;
        mStartMillis = nowMillis;
        mMaxRunMillis = remainingMillis;
        scheduleHealthCheck(run, 0);
        long timeoutMillis = mGate.health().runTimeoutMillis(workKind, softRemainingMillis);
        scheduleHungCheck(timeoutMillis, timeoutMillis, onFailover);
        long unresponsiveMicros = mContext.observer().unresponsiveAfterMicros(mGate.target());
        if (unresponsiveMicros < TimeUnit.MILLISECONDS.toMicros(remainingMillis)) {
            mUnresponsiveCheck =
                    mContext.scheduler()
                            .schedule(
                                    () ->
                                            reportOutcome(
                                                    ObservedOutcome.UNRESPONSIVE,
                                                    unresponsiveMicros),
                                    unresponsiveMicros,
                                    TimeUnit.MICROSECONDS);
        }
    }

    private void scheduleHungCheck(long checkAtMillis, long timeoutMillis, Runnable onFailover) {
        if (mEnded || checkAtMillis >= mMaxRunMillis) {
            return;
        }
        long elapsedMillis = mContext.ticker().millis() - mStartMillis;
        mHungCheck =
                mContext.scheduler()
                        .schedule(
                                () -> checkHung(checkAtMillis, timeoutMillis, onFailover),
                                Math.max(1, checkAtMillis - elapsedMillis),
                                TimeUnit.MILLISECONDS);
    }

    private void checkHung(long checkAtMillis, long timeoutMillis, Runnable onFailover) {
        if (mEnded || (mOutcomeReported.get() && !mHung)) {
            return;
        }
        HealthGate.TimeoutDiagnosis diagnosis = diagnoseTimeout(checkAtMillis);
        // Goes on after a hung run was reported: another target may be able to take over later.
        scheduleHungCheck(
                checkAtMillis + Math.max(1, timeoutMillis / CHECKS_PER_TIMEOUT),
                timeoutMillis,
                onFailover);
        if (diagnosis != HealthGate.TimeoutDiagnosis.SLOW) {
            onFailover.run();
        }
    }

    private HealthGate.TimeoutDiagnosis diagnoseTimeout(long elapsedMillis) {
        if (mHung) {
            return HealthGate.TimeoutDiagnosis.HUNG;
        }
        HealthGate.TimeoutDiagnosis diagnosis =
                mGate.health().diagnoseTimeout(mRun, mContext.ticker().millis());
        if (diagnosis == HealthGate.TimeoutDiagnosis.HUNG) {
            mHung = true;
            reportOutcome(
                    ObservedOutcome.UNRESPONSIVE, TimeUnit.MILLISECONDS.toMicros(elapsedMillis));
        } else {
            reportHealth();
        }
        return diagnosis;
    }

    /** Stops the checks and reports the outcome, unless one was reported before. */
    void end(ObservedOutcome outcome, long serviceMicros) {
        mEnded = true;
        cancel(mHealthCheck);
        cancel(mHungCheck);
        cancel(mUnresponsiveCheck);
        reportOutcome(outcome, serviceMicros);
    }

    /**
     * Reports that the connection to the target broke before the answer was complete.
     *
     * @return completes once it is determined whether the target has ended, or that took too long
     */
    CompletableFuture<Void> reportBroken() {
        return mContext.exitDetector().reportBrokenRun(mGate.target(), mIdentity.toBrokenRun());
    }

    private void scheduleHealthCheck(HealthGate.Run run, long elapsedMillis) {
        long checkMillis = run.checkMillis();
        if (checkMillis < mMaxRunMillis) {
            mHealthCheck =
                    mContext.scheduler()
                            .schedule(
                                    () -> reportStillRunning(run),
                                    Math.max(1, checkMillis - elapsedMillis),
                                    TimeUnit.MILLISECONDS);
        }
    }

    private void reportStillRunning(HealthGate.Run run) {
        if (!mOutcomeReported.get()) {
            long nowMillis = mContext.ticker().millis();
            mGate.health().stillRunning(run, nowMillis);
            reportHealth();
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
                // Caused by load, the path or the caller: no evidence about the target's health.
            }
        }
        mContext.observer().onOutcome(mGate.target(), outcome, serviceMicros);
    }

    private void updateHealth(ObjLongConsumer<HealthGate.Run> evidence) {
        HealthGate.Run run = mRun;
        if (run != null) {
            evidence.accept(run, mContext.ticker().millis());
            reportHealth();
        }
    }

    private void reportHealth() {
        mContext.observer()
                .onHealthObserved(mGate.target(), mGate.healthReport(), mGate.loadPermille());
    }

    private static void cancel(Scheduler.Task task) {
        if (task != null) {
            task.cancel();
        }
    }
}
