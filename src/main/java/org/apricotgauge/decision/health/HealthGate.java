package org.apricotgauge.decision.health;

import org.apricotgauge.model.Checks;

/**
 * Decides which requests a target gets while it may be in a sick spell.
 *
 * <pre>{@code
 * if (!gate.mayPass(Caution.STEADY, nowMillis)) {
 *     return notRun(NotRunReason.TARGET_SUSPECT);   // the entry goes to another target
 * }
 * gate.ended(failed, nowMillis);
 * }</pre>
 *
 * <p>The guard sees all of its target's requests, each entry a sliver of them. A refusal here costs
 * an entry one way there and back; a run at a sick target costs the caller its request. Requests
 * that may repeat find out when the spell is over, one at a time. Thread-safe.
 */
public final class HealthGate {
    /** From this probability on a target is only tried. */
    public static final double SUSPECT = 0.5;

    /**
     * From this probability on a target gets nothing that must not repeat; a failure keeps it above
     * for 3.6 s without better news, which is longer than three spells in four.
     */
    public static final double UNSTEADY = 0.4;

    /** Pause between two tries of a suspect target, in milliseconds. */
    static final long TRY_PAUSE_MILLIS = 300;

    private HealthBelief mBelief = HealthBelief.UNKNOWN;
    private long mTriedMillis = Long.MIN_VALUE / 2;

    /** How much of a risk a request may run. */
    public enum Caution {
        /** It must not repeat: it goes to a target that is not suspect, or elsewhere. */
        STEADY,
        /** It may repeat, and so may try a suspect target. */
        MAY_TRY,
        /** There is nowhere else to go. */
        NONE
    }

    /** Returns whether a request may start at the target now. */
    public synchronized boolean mayPass(Caution caution, long nowMillis) {
        Checks.notNull("caution", caution);
        double sick = mBelief.sickAt(nowMillis);
        if (caution == Caution.STEADY) {
            return sick < UNSTEADY;
        }
        if (caution == Caution.NONE || sick < SUSPECT) {
            return true;
        }
        if (nowMillis - mTriedMillis < TRY_PAUSE_MILLIS) {
            return false;
        }
        mTriedMillis = nowMillis;
        return true;
    }

    /** Takes in how a request ended at the target. */
    public synchronized void ended(boolean failed, long nowMillis) {
        mBelief = failed ? mBelief.afterFailure(nowMillis) : mBelief.afterSuccess(nowMillis);
    }

    /** Returns the present belief. */
    public synchronized HealthBelief belief() {
        return mBelief;
    }
}
