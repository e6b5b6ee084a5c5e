package org.apricotgauge.decision.attempt;

/** The ledger's verdict on an attempt that arrives at a guard. */
public enum AttemptAdmission {
    /** It may go on to the queue; nothing of it has gone to the target. */
    ADMITTED(false),
    /** It was fenced or withdrawn before; it never starts. */
    FENCED(true),
    /** The same attempt is here already; this copy is dropped, and the first one counts. */
    DUPLICATE(false),
    /** Its latest start has passed, and it was never seen before. */
    EXPIRED(true),
    /** It was addressed to another run of the guard. */
    OTHER_INCARNATION(true),
    /**
     * Its latest start lies further ahead than the guard remembers; no mark is left, so a second
     * copy, which comes a little later, may be admitted.
     */
    TOO_FAR_AHEAD(false),
    /** Too many attempts are under way. */
    FULL(true),
    /** It may have been here before; its traces are gone. */
    FORGOTTEN(false);

    private final boolean mProvesNotRun;

    AttemptAdmission(boolean provesNotRun) {
        mProvesNotRun = provesNotRun;
    }

    /**
     * Tells whether a refusal with this verdict proves that the attempt did not run and won't.
     *
     * <p>For {@link #OTHER_INCARNATION} the proof needs the entry's rule that an attempt is written
     * to one connection only: a connection ends with the process that accepted it, so that no
     * earlier run of the guard can have received the attempt.
     */
    public boolean provesNotRun() {
        return mProvesNotRun;
    }
}
