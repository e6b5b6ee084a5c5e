package org.apricotgauge.decision.attempt;

/** Decision of an {@link AttemptLedger} on an attempt that arrives at a guard. */
public enum AttemptAdmission {
    /** May proceed to the queue; nothing has been sent to the target yet. */
    ADMITTED(false),
    /** Was fenced or withdrawn before; it never starts. */
    FENCED(true),
    /** Is already known; this duplicate is dropped, and the first one counts. */
    DUPLICATE(false),
    /** Arrived for the first time after its latest start. */
    EXPIRED(true),
    /** Was addressed to another incarnation of the guard. */
    OTHER_INCARNATION(true),
    /**
     * Its latest start lies further ahead than the ledger keeps entries. Nothing is recorded, so a
     * duplicate that arrives a little later may be admitted.
     */
    TOO_FAR_AHEAD(false),
    /** Too many attempts are in flight. */
    FULL(true),
    /** May have arrived before; its entry could have been evicted or have expired. */
    FORGOTTEN(false);

    private final boolean mProvesNotRun;

    AttemptAdmission(boolean provesNotRun) {
        mProvesNotRun = provesNotRun;
    }

    /**
     * Returns whether a refusal with this decision proves that the attempt did not and will not
     * run.
     *
     * <p>For {@link #OTHER_INCARNATION} the proof relies on entries writing each attempt to one
     * connection only: a connection ends with the process that accepted it, so no earlier
     * incarnation of the guard can have received the attempt.
     */
    public boolean provesNotRun() {
        return mProvesNotRun;
    }
}
