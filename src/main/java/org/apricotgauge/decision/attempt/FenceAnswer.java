package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * Answer of a guard to a fence.
 *
 * @param state state of the attempt
 * @param status status of the target's answer, or 0 unless the state is {@link State#COMPLETED}
 */
public record FenceAnswer(State state, int status) {

    /** State of a fenced attempt. */
    public enum State {
        /** Did not run, and is refused from now on. */
        NOT_RUN,
        /** Its first byte may have reached the target; it is running or was interrupted. */
        STARTED,
        /** Was answered by the target. */
        COMPLETED,
        /** Unknown to the guard: another incarnation received it, or too much time has passed. */
        UNKNOWN_FORGOTTEN
    }

    static final FenceAnswer NOT_RUN = new FenceAnswer(State.NOT_RUN, 0);
    static final FenceAnswer STARTED = new FenceAnswer(State.STARTED, 0);
    static final FenceAnswer FORGOTTEN = new FenceAnswer(State.UNKNOWN_FORGOTTEN, 0);

    public FenceAnswer {
        Checks.notNull("state", state);
        Checks.inRange("status", status, 0, 999);
    }

    /** Returns the outcome that the entry may report if no answer can follow. */
    public Outcome toOutcome() {
        return switch (state) {
            case NOT_RUN -> new Outcome.NotRun(NotRunReason.FENCED, 0);
            case STARTED -> new Outcome.Unknown(UnknownReason.STARTED);
            case COMPLETED -> new Outcome.Unknown(UnknownReason.ANSWER_LOST);
            case UNKNOWN_FORGOTTEN -> new Outcome.Unknown(UnknownReason.FORGOTTEN);
        };
    }
}
