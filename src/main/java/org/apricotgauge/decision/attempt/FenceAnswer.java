package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * What a guard answers to a fence.
 *
 * @param state how far the attempt came
 * @param status status of the target's answer, or 0 unless the state is {@link State#COMPLETED}
 */
public record FenceAnswer(State state, int status) {

    /** How far a fenced attempt came. */
    public enum State {
        /** It did not run, and from now on it is refused. */
        NOT_RUN,
        /** Its first byte may have gone to the target; it is running, or broke off. */
        STARTED,
        /** The target answered it. */
        COMPLETED,
        /** The guard can't tell: another run of it, or too long ago. */
        UNKNOWN_FORGOTTEN
    }

    static final FenceAnswer NOT_RUN = new FenceAnswer(State.NOT_RUN, 0);
    static final FenceAnswer STARTED = new FenceAnswer(State.STARTED, 0);
    static final FenceAnswer FORGOTTEN = new FenceAnswer(State.UNKNOWN_FORGOTTEN, 0);

    /** Checks the parts. */
    public FenceAnswer {
        Checks.notNull("state", state);
        Checks.inRange("status", status, 0, 999);
    }

    /** Returns the outcome that the entry may tell its caller when no more is to come. */
    public Outcome toOutcome() {
        return switch (state) {
            case NOT_RUN -> new Outcome.NotRun(NotRunReason.FENCED, 0);
            case STARTED -> new Outcome.Unknown(UnknownReason.STARTED);
            case COMPLETED -> new Outcome.Unknown(UnknownReason.ANSWER_LOST);
            case UNKNOWN_FORGOTTEN -> new Outcome.Unknown(UnknownReason.FORGOTTEN);
        };
    }
}
