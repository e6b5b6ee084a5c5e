package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * How far the attempts of one submission have come, folded after each attempt.
 *
 * <pre>{@code
 * Progress progress = Progress.of(repeatable, hasKey).after(outcome);
 * }</pre>
 *
 * @param repeatable whether the request may run more than once
 * @param hasKey whether it carries an Idempotency-Key, and so always goes to the key's home
 * @param attempts attempts ended
 * @param runs attempts among them that ended without a proof of "not run"
 * @param last outcome of the last attempt, or null before the first ended
 */
public record Progress(boolean repeatable, boolean hasKey, int attempts, int runs, Outcome last) {

    /** Checks the parts. */
    public Progress {
        Checks.inRange("attempts", attempts, 0, Integer.MAX_VALUE);
        Checks.inRange("runs", runs, 0, attempts);
    }

    /** Returns whether one of the attempts may have run, answered or not. */
    public boolean mayHaveRun() {
        return runs > 0;
    }

    /** Returns the progress of a submission before its first attempt. */
    public static Progress of(boolean repeatable, boolean hasKey) {
        return new Progress(repeatable, hasKey, 0, 0, null);
    }

    /** Returns the progress once an attempt has ended. */
    public Progress after(Outcome outcome) {
        int unproven = outcome instanceof Outcome.NotRun ? 0 : 1;
        return new Progress(repeatable, hasKey, attempts + 1, runs + unproven, outcome);
    }
}
