package org.apricotgauge.decision.health;

import org.apricotgauge.model.Checks;

/**
 * Decides which requests may start at a target while it may be degraded.
 *
 * <pre>{@code
 * if (!gate.mayStart(TargetRestriction.STEADY, nowMillis)) {
 *     return notRun(NotRunReason.TARGET_SUSPECT);   // the entry tries another target
 * }
 * HealthGate.Run run = gate.started("route-7", nowMillis);
 * gate.stillRunning(run, nowMillis);                 // repeatedly, after run.checkMillis()
 * gate.ended(run, failed, nowMillis);
 * }</pre>
 *
 * <p>The guard observes all requests of its target, each entry only a small share of them. A
 * refusal here costs the entry one round trip, while a run at a degraded target may fail the
 * caller's request. Idempotent requests probe a suspect target, one at a time, to detect its
 * recovery. Thread-safe.
 */
public final class HealthGate {
    /** Probability of being degraded at or above which a target is suspect and only probed. */
    public static final double SUSPECT_PROBABILITY = 0.5;

    /** Probability at or above which a target receives no non-idempotent requests. */
    public static final double NON_IDEMPOTENT_LIMIT = 0.4;

    /**
     * Probability to which a suspect target's estimate must have decayed before it is probed. A
     * probe right after a failure fails again, and costs one of the retries that the fleet shares.
     */
    static final double MAX_PROBE_PROBABILITY = 0.75;

    /**
     * Probability at or above which an idempotent request that has exceeded its run timeout is
     * better retried at another target.
     */
    static final double MIN_FAILOVER_PROBABILITY = 0.25;

    /** Interval between probes of a suspect target, in milliseconds, so that the first can end. */
    static final long PROBE_INTERVAL_MILLIS = 300;

    private final DegradationFilter mFilter = new DegradationFilter();
    private final FailureTimeHistogram mFailureTimes = new FailureTimeHistogram();
    private final RunTimeEstimator mRunTimes = new RunTimeEstimator();
    private long mLastProbeMillis = Long.MIN_VALUE / 2;
    private long mLastFailedStartMillis = Long.MIN_VALUE / 2;

    /** Which targets a request may go to; sent between nodes by name. */
    public enum TargetRestriction {
        /**
         * Only to a target whose probability of being degraded is below {@link
         * HealthGate#NON_IDEMPOTENT_LIMIT}; for a request that is not idempotent, or that has no
         * further run left.
         */
        STEADY,
        /**
         * May also probe a suspect target; for an idempotent request that has a further run left.
         */
        MAY_TRY,
        /**
         * No restriction, since no other target or no further attempt is left; also assumed for
         * requests from entries of older releases, which don't send the restriction.
         */
        NONE
    }

    /** Cause of a request running for far longer than others of its kind. */
    public enum TimeoutDiagnosis {
        /** The target is busy. */
        SLOW,
        /** The target may hang; an idempotent request is better retried elsewhere. */
        UNCERTAIN,
        /** The target hangs. */
        HUNG
    }

    /** Execution of a request at the target; may only be passed to the gate that created it. */
    public static final class Run {
        private final String mWorkKind;
        private final long mStartMillis;
        private long mCheckMillis = Long.MAX_VALUE;
        private double mAnsweredShare;
        private double mFailedShare;

        private Run(String workKind, long startMillis) {
            mWorkKind = workKind;
            mStartMillis = startMillis;
        }

        /**
         * Returns the time since the start at which {@link HealthGate#stillRunning} is to be called
         * next, in milliseconds; {@link Long#MAX_VALUE} if never.
         */
        public long checkMillis() {
            return mCheckMillis;
        }

        /**
         * Returns the probability of running for so long at a target with the given failure rate.
         */
        private double stillRunningProbability(double failureRate) {
            return 1 - (1 - failureRate) * mAnsweredShare - failureRate * mFailedShare;
        }
    }

    /** Returns whether a request may start at the target now. */
    public synchronized boolean mayStart(TargetRestriction targetRestriction, long nowMillis) {
        Checks.notNull("targetRestriction", targetRestriction);
        double probability = mFilter.probabilityAt(nowMillis);
        if (targetRestriction == TargetRestriction.STEADY) {
            return probability < NON_IDEMPOTENT_LIMIT;
        }
        if (targetRestriction == TargetRestriction.NONE || probability < SUSPECT_PROBABILITY) {
            return true;
        }
        if (probability > MAX_PROBE_PROBABILITY
                || nowMillis - mLastProbeMillis < PROBE_INTERVAL_MILLIS) {
            return false;
        }
        mLastProbeMillis = nowMillis;
        return true;
    }

    /** Records that a request of an unspecified kind of work starts at the target. */
    public Run started(long nowMillis) {
        return started("", nowMillis);
    }

    /**
     * Records that a request starts at the target.
     *
     * @param workKind name of the kind of work
     */
    public synchronized Run started(String workKind, long nowMillis) {
        Run run = new Run(workKind, nowMillis);
        run.mCheckMillis = nextCheckMillis(run, 0);
        return run;
    }

    private long nextCheckMillis(Run run, long millis) {
        long failureCheckMillis = mFailureTimes.checkMillis();
        long answerCheckMillis =
                mFailureTimes.areTimeoutsCommon()
                        ? mRunTimes.nextCheckMillis(run.mWorkKind, millis)
                        : Long.MAX_VALUE;
        return failureCheckMillis > millis
                ? Math.min(failureCheckMillis, answerCheckMillis)
                : answerCheckMillis;
    }

    /**
     * Records that a request still runs.
     *
     * <p>Where a degraded target fails requests fast, a request that still runs is as strong
     * evidence of health as its answer, and is available earlier. Where a degraded target hangs, a
     * request that still runs when most of its kind would have been answered is evidence of that,
     * and is available before the run timeout.
     */
    public synchronized void stillRunning(Run run, long nowMillis) {
        long millis = nowMillis - run.mStartMillis;
        run.mCheckMillis = nextCheckMillis(run, millis);
        if (isOutdated(run)) {
            return;
        }
        Run before = new Run(run.mWorkKind, run.mStartMillis);
        before.mAnsweredShare = run.mAnsweredShare;
        before.mFailedShare = run.mFailedShare;
        if (mFailureTimes.areTimeoutsCommon()) {
            run.mAnsweredShare =
                    Math.max(
                            run.mAnsweredShare,
                            mRunTimes.answeredShareWithin(run.mWorkKind, millis));
        }
        run.mFailedShare = Math.max(run.mFailedShare, mFailureTimes.shareWithin(millis));
        mFilter.observe(
                failureRate ->
                        run.stillRunningProbability(failureRate)
                                / before.stillRunningProbability(failureRate),
                nowMillis);
    }

    /**
     * Records that a request has exceeded its run timeout, and returns the likely cause.
     *
     * <p>Where failures are fast, an unresponsive target is busy; where they are timeouts, it is
     * degraded. Which of the two holds is learned from the target's earlier failures.
     */
    public synchronized TimeoutDiagnosis diagnoseTimeout(Run run, long nowMillis) {
        stillRunning(run, nowMillis);
        if (!mFailureTimes.areTimeoutsCommon()) {
            return TimeoutDiagnosis.SLOW;
        }
        if (!mRunTimes.hasEnoughSamples(run.mWorkKind)) {
            return TimeoutDiagnosis.UNCERTAIN;
        }
        double probability = mFilter.probabilityAt(nowMillis);
        if (probability < MIN_FAILOVER_PROBABILITY) {
            return TimeoutDiagnosis.SLOW;
        }
        return probability < SUSPECT_PROBABILITY
                ? TimeoutDiagnosis.UNCERTAIN
                : TimeoutDiagnosis.HUNG;
    }

    /** Records a failure by timeout: no answer arrived before the request was abandoned. */
    public synchronized void endedWithoutAnswer(Run run, long nowMillis) {
        mFailureTimes.addTimeout();
        failed(run, nowMillis);
    }

    private void failed(Run run, long nowMillis) {
        mLastFailedStartMillis = Math.max(mLastFailedStartMillis, run.mStartMillis);
        mFilter.observe(
                failureRate -> failureRate / run.stillRunningProbability(failureRate), nowMillis);
    }

    /** Records how a request ended at the target. */
    public synchronized void ended(Run run, boolean failed, long nowMillis) {
        long millis = nowMillis - run.mStartMillis;
        if (failed) {
            mFailureTimes.addFailure(millis);
            failed(run, nowMillis);
            return;
        }
        mRunTimes.answered(run.mWorkKind, millis);
        if (!isOutdated(run)) {
            mFilter.observe(
                    failureRate -> (1 - failureRate) / run.stillRunningProbability(failureRate),
                    nowMillis);
        }
    }

    /**
     * Returns the timeout of a run that starts now, in milliseconds.
     *
     * @param softDeadlineMillis time from the start of the run to the request's soft deadline
     */
    public long runTimeoutMillis(String workKind, long softDeadlineMillis) {
        return mRunTimes.runTimeoutMillis(workKind, softDeadlineMillis);
    }

    // An answer is evidence of the target's health when the request started. Answers to requests
    // from before an episode keep arriving for a second after the first failure, and two of them
    // would clear the suspicion.
    private boolean isOutdated(Run run) {
        return run.mStartMillis < mLastFailedStartMillis;
    }

    /** Returns the probability that the target is degraded, now and later. */
    public synchronized DegradationEstimate estimate(long nowMillis) {
        return mFilter.estimate(nowMillis);
    }
}
