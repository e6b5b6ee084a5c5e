package org.apricotgauge.functional.attempt;

/**
 * One step of the world; a step that makes no sense in the present state does nothing.
 *
 * @param kind what happens
 * @param who which process
 * @param pick which of the candidates
 * @param millis how far a clock moves, or how long a deadline is
 */
record Step(Kind kind, int who, int pick, int millis) {

    enum Kind {
        SUBMIT,
        SUBMIT_WITH_KEY,
        DELIVER,
        DELIVER_OLDEST,
        LOSE,
        DUPLICATE,
        START,
        TARGET_RUNS,
        TARGET_ANSWERS,
        TARGET_SHEDS,
        TARGET_BREAKS,
        GIVE_UP,
        CALLER_CANCELS,
        ENTRY_CLOCK,
        GUARD_CLOCK,
        CRASH_ENTRY,
        CRASH_GUARD,
        LEAVE,
        PAUSE_ENTRY,
        PAUSE_GUARD
    }
}
