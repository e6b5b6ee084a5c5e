package org.apricotgauge.decision.health;

import org.apricotgauge.model.Checks;

/**
 * Decides which requests a target gets while it may be in a sick spell.
 *
 * <pre>{@code
 * if (!gate.mayPass(Caution.STEADY, nowMillis)) {
 *     return notRun(NotRunReason.TARGET_SUSPECT);   // the entry goes to another target
 * }
 * HealthGate.Run run = gate.started("route-7", nowMillis);
 * gate.stillRuns(run, nowMillis);                    // after run.checkMillis(), again and again
 * gate.ended(run, failed, nowMillis);
 * }</pre>
 *
 * <p>The guard sees all of its target's requests, each entry a sliver of them. A refusal here costs
 * an entry one way there and back; a run at a sick target costs the caller its request. Requests
 * that may repeat find out when the spell is over, one at a time. Thread-safe.
 */
public final class HealthGate {
    /** From this probability on a target is only tried. */
    public static final double SUSPECT_PROBABILITY = 0.5;

    /** From this probability on a target gets nothing that must not repeat. */
    public static final double NON_IDEMPOTENT_LIMIT = 0.4;

    /**
     * A suspect target is tried once its probability of being sick has fallen to this. Tried right
     * after a failure it fails again, and each try costs one of the retries that the fleet shares.
     */
    static final double MAX_PROBE_PROBABILITY = 0.75;

    /**
     * From this probability on a request that may repeat, and is beyond its patience, is better off
     * at another target.
     */
    static final double MIN_FAILOVER_PROBABILITY = 0.25;

    /** Pause between two tries of a suspect target, in milliseconds: the first has to end. */
    static final long PROBE_INTERVAL_MILLIS = 300;

    private final DegradationFilter mFilter = new DegradationFilter();
    private final FailureTimeHistogram mFailureTimes = new FailureTimeHistogram();
    private final RunTimeEstimator mRunTimes = new RunTimeEstimator();
    private long mLastProbeMillis = Long.MIN_VALUE / 2;
    private long mLastFailedStartMillis = Long.MIN_VALUE / 2;

    /** How much of a risk a request may run. */
    public enum RiskTolerance {
        /** It must not repeat: it goes to a target that is not suspect, or elsewhere. */
        STEADY,
        /** It may repeat, and so may try a suspect target. */
        MAY_TRY,
        /** There is nowhere else to go. */
        NONE
    }

    /** What it means that a request gets no answer for far longer than its kind. */
    public enum TimeoutDiagnosis {
        /** The target is busy. */
        SLOW,
        /** The target may hang; the request is better off elsewhere, if it may repeat. */
        UNCERTAIN,
        /** The target hangs. */
        HUNG
    }

    /** A request at the target; belongs to the gate that made it. */
    public static final class Run {
        private final String mWorkKind;
        private final long mStartMillis;
        private long mCheckMillis = Long.MAX_VALUE;
        private double mAnsweredShare;
        private double mFailedShare;

        private Run(String work, long startMillis) {
            mWorkKind = work;
            mStartMillis = startMillis;
        }

        /**
         * Returns after how long since its start the gate is next to be told that it still runs, in
         * milliseconds; {@link Long#MAX_VALUE} if never.
         */
        public long checkMillis() {
            return mCheckMillis;
        }

        /** Returns how likely it is to run for so long at a target that fails a share. */
        private double stillRunningProbability(double fails) {
            return 1 - (1 - fails) * mAnsweredShare - fails * mFailedShare;
        }
    }

    /** Returns whether a request may start at the target now. */
    public synchronized boolean mayStart(RiskTolerance caution, long nowMillis) {
        Checks.notNull("caution", caution);
        double sick = mFilter.probabilityAt(nowMillis);
        if (caution == RiskTolerance.STEADY) {
            return sick < NON_IDEMPOTENT_LIMIT;
        }
        if (caution == RiskTolerance.NONE || sick < SUSPECT_PROBABILITY) {
            return true;
        }
        if (sick > MAX_PROBE_PROBABILITY || nowMillis - mLastProbeMillis < PROBE_INTERVAL_MILLIS) {
            return false;
        }
        mLastProbeMillis = nowMillis;
        return true;
    }

    /** Takes in that a request goes to the target, of which no other work is told apart. */
    public Run started(long nowMillis) {
        return started("", nowMillis);
    }

    /**
     * Takes in that a request goes to the target.
     *
     * @param work name of the kind of work it is
     */
    public synchronized Run started(String work, long nowMillis) {
        Run run = new Run(work, nowMillis);
        run.mCheckMillis = nextCheckMillis(run, 0);
        return run;
    }

    private long nextCheckMillis(Run run, long millis) {
        long failureMillis = mFailureTimes.checkMillis();
        long markMillis =
                mFailureTimes.areTimeoutsCommon()
                        ? mRunTimes.nextCheckMillis(run.mWorkKind, millis)
                        : Long.MAX_VALUE;
        return failureMillis > millis ? Math.min(failureMillis, markMillis) : markMillis;
    }

    /**
     * Takes in that a request still runs.
     *
     * <p>A target that fails most of its requests at once does so before long, so that this is what
     * its answer would say, without the wait for it. One that hangs says nothing; a run that goes
     * on while most of its kind would have been answered speaks for that, before its patience is
     * over.
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
                fails -> run.stillRunningProbability(fails) / before.stillRunningProbability(fails),
                nowMillis);
    }

    /**
     * Takes in that a request is beyond its patience; returns what that says of the target.
     *
     * <p>Where targets fail at once, one that says nothing for long is busy; where they hang, it is
     * sick. Which of the two holds is learned from how the target's failures came.
     */
    public synchronized TimeoutDiagnosis diagnoseTimeout(Run run, long nowMillis) {
        stillRunning(run, nowMillis);
        if (!mFailureTimes.areTimeoutsCommon()) {
            return TimeoutDiagnosis.SLOW;
        }
        if (!mRunTimes.hasEnoughSamples(run.mWorkKind)) {
            return TimeoutDiagnosis.UNCERTAIN;
        }
        double sick = mFilter.probabilityAt(nowMillis);
        if (sick < MIN_FAILOVER_PROBABILITY) {
            return TimeoutDiagnosis.SLOW;
        }
        return sick < SUSPECT_PROBABILITY ? TimeoutDiagnosis.UNCERTAIN : TimeoutDiagnosis.HUNG;
    }

    /** Takes in that a request got no answer for as long as somebody waited for it. */
    public synchronized void endedWithoutAnswer(Run run, long nowMillis) {
        mFailureTimes.addTimeout();
        failed(run, nowMillis);
    }

    private void failed(Run run, long nowMillis) {
        mLastFailedStartMillis = Math.max(mLastFailedStartMillis, run.mStartMillis);
        mFilter.observe(fails -> fails / run.stillRunningProbability(fails), nowMillis);
    }

    /** Takes in how a request ended at the target. */
    public synchronized void ended(Run run, boolean failed, long nowMillis) {
        long millis = nowMillis - run.mStartMillis;
        if (failed) {
            mFailureTimes.addFailure(millis);
            failed(run, nowMillis);
            return;
        }
        mRunTimes.answered(run.mWorkKind, millis);
        if (!isOutdated(run)) {
            mFilter.observe(fails -> (1 - fails) / run.stillRunningProbability(fails), nowMillis);
        }
    }

    /**
     * Returns after how long a run that starts now is taken for hung, in milliseconds.
     *
     * @param usefulMillis time within which its answer is of full use
     */
    public long runTimeoutMillis(String work, long usefulMillis) {
        return mRunTimes.runTimeoutMillis(work, usefulMillis);
    }

    // An answer tells of the moment at which the target took the request. Those of requests that it
    // took before it fell sick come for a second after the first failure, and two of them would
    // clear it.
    private boolean isOutdated(Run run) {
        return run.mStartMillis < mLastFailedStartMillis;
    }

    /** Returns how likely the target is to be sick, now and later. */
    public synchronized DegradationEstimate estimate(long nowMillis) {
        return mFilter.estimate(nowMillis);
    }
}
