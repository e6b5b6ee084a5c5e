package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * How far the attempts of one submission have come, folded after each attempt.
 *
 * <pre>{@code
 * Progress progress = Progress.of(repeatable, hasKey).after(outcome);
 * }</pre>
 *
 * @param idempotent whether the request may run more than once
 * @param hasKey whether it carries an Idempotency-Key, and so always goes to the key's home
 * @param attempts attempts ended
 * @param possibleRuns attempts among them that ended without a proof of "not run"
 * @param lastOutcome outcome of the last attempt, or null before the first ended
 */
public record SubmissionProgress(
        boolean idempotent, boolean hasKey, int attempts, int possibleRuns, Outcome lastOutcome) {

    /** Checks the parts. */
    public SubmissionProgress {
        Checks.inRange("attempts", attempts, 0, Integer.MAX_VALUE);
        Checks.inRange("runs", possibleRuns, 0, attempts);
    }

    /** Returns whether one of the attempts may have run, answered or not. */
    public boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /** Returns the progress of a submission before its first attempt. */
    public static SubmissionProgress of(boolean repeatable, boolean hasKey) {
        return new SubmissionProgress(repeatable, hasKey, 0, 0, null);
    }

    /** Returns the progress once an attempt has ended. */
    public SubmissionProgress after(Outcome outcome) {
        int unproven = outcome instanceof Outcome.NotRun ? 0 : 1;
        return new SubmissionProgress(
                idempotent, hasKey, attempts + 1, possibleRuns + unproven, outcome);
    }
}
