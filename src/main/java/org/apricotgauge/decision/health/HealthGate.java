package org.apricotgauge.decision.health;

import org.apricotgauge.model.Checks;

/**
 * Decides which requests a target gets while it may be in a sick spell.
 *
 * <pre>{@code
 * if (!gate.mayPass(Caution.STEADY, nowMillis)) {
 *     return notRun(NotRunReason.TARGET_SUSPECT);   // the entry goes to another target
 * }
 * HealthGate.Run run = gate.started(nowMillis);
 * gate.stillRuns(run, nowMillis);                    // after run.checkMillis()
 * gate.ended(run, failed, nowMillis);
 * }</pre>
 *
 * <p>The guard sees all of its target's requests, each entry a sliver of them. A refusal here costs
 * an entry one way there and back; a run at a sick target costs the caller its request. Requests
 * that may repeat find out when the spell is over, one at a time. Thread-safe.
 */
public final class HealthGate {
    /** From this probability on a target is only tried. */
    public static final double SUSPECT = 0.5;

    /** From this probability on a target gets nothing that must not repeat. */
    public static final double UNSTEADY = 0.4;

    /**
     * A suspect target is tried once its probability of being sick has fallen to this. Tried right
     * after a failure it fails again, and each try costs one of the retries that the fleet shares.
     */
    static final double WORTH_A_TRY = 0.75;

    /** Pause between two tries of a suspect target, in milliseconds: the first has to end. */
    static final long TRY_PAUSE_MILLIS = 300;

    private final HealthFilter mFilter = new HealthFilter();
    private final FailureTimes mFailureTimes = new FailureTimes();
    private long mTriedMillis = Long.MIN_VALUE / 2;
    private long mFailedStartMillis = Long.MIN_VALUE / 2;

    /** How much of a risk a request may run. */
    public enum Caution {
        /** It must not repeat: it goes to a target that is not suspect, or elsewhere. */
        STEADY,
        /** It may repeat, and so may try a suspect target. */
        MAY_TRY,
        /** There is nowhere else to go. */
        NONE
    }

    /** A request at the target; belongs to the gate that made it. */
    public static final class Run {
        private final long mStartMillis;
        private final long mCheckMillis;
        private double mFailedBefore;

        private Run(long startMillis, long checkMillis) {
            mStartMillis = startMillis;
            mCheckMillis = checkMillis;
        }

        /** Returns after how long the gate is to be told that it still runs, in milliseconds. */
        public long checkMillis() {
            return mCheckMillis;
        }
    }

    /** Returns whether a request may start at the target now. */
    public synchronized boolean mayPass(Caution caution, long nowMillis) {
        Checks.notNull("caution", caution);
        double sick = mFilter.sickAt(nowMillis);
        if (caution == Caution.STEADY) {
            return sick < UNSTEADY;
        }
        if (caution == Caution.NONE || sick < SUSPECT) {
            return true;
        }
        if (sick > WORTH_A_TRY || nowMillis - mTriedMillis < TRY_PAUSE_MILLIS) {
            return false;
        }
        mTriedMillis = nowMillis;
        return true;
    }

    /** Takes in that a request goes to the target. */
    public synchronized Run started(long nowMillis) {
        return new Run(nowMillis, mFailureTimes.checkMillis());
    }

    /**
     * Takes in that a request still runs. A target that fails most of its requests does so before
     * long, so that this is what its answer would say, without the wait for it.
     */
    public synchronized void stillRuns(Run run, long nowMillis) {
        if (isOutdated(run)) {
            return;
        }
        double failed = mFailureTimes.within(nowMillis - run.mStartMillis);
        run.mFailedBefore = failed;
        mFilter.saw(fails -> 1 - fails * failed, nowMillis);
    }

    /** Takes in how a request ended at the target. */
    public synchronized void ended(Run run, boolean failed, long nowMillis) {
        double before = run.mFailedBefore;
        if (failed) {
            mFailureTimes.add(nowMillis - run.mStartMillis);
            mFailedStartMillis = Math.max(mFailedStartMillis, run.mStartMillis);
            mFilter.saw(fails -> fails / (1 - fails * before), nowMillis);
        } else if (!isOutdated(run)) {
            mFilter.saw(fails -> (1 - fails) / (1 - fails * before), nowMillis);
        }
    }

    // An answer tells of the moment at which the target took the request. Those of requests that it
    // took before it fell sick come for a second after the first failure, and two of them would
    // clear it.
    private boolean isOutdated(Run run) {
        return run.mStartMillis < mFailedStartMillis;
    }

    /** Returns how likely the target is to be sick, now and later. */
    public synchronized HealthOutlook outlook(long nowMillis) {
        return mFilter.outlook(nowMillis);
    }
}
