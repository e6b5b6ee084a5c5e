package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * Progress of one submission over its attempts; immutable, updated after each attempt.
 *
 * <pre>{@code
 * SubmissionProgress progress = SubmissionProgress.of(idempotent, hasKey).after(outcome);
 * }</pre>
 *
 * @param idempotent whether the request may run more than once
 * @param hasKey whether it carries an Idempotency-Key, and so is always sent to the key's owner
 * @param attempts number of attempts that have ended
 * @param possibleRuns number of these attempts that ended without a proof of "not run"
 * @param lastOutcome outcome of the last attempt, or null before the first has ended
 */
public record SubmissionProgress(
        boolean idempotent, boolean hasKey, int attempts, int possibleRuns, Outcome lastOutcome) {

    public SubmissionProgress {
        Checks.inRange("attempts", attempts, 0, Integer.MAX_VALUE);
        Checks.inRange("possibleRuns", possibleRuns, 0, attempts);
    }

    /** Returns whether any attempt may have run, answered or not. */
    public boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /** Returns the progress of a submission before its first attempt. */
    public static SubmissionProgress of(boolean idempotent, boolean hasKey) {
        return new SubmissionProgress(idempotent, hasKey, 0, 0, null);
    }

    /** Returns the progress after a pause: attempts that reached no target are not counted on. */
    public SubmissionProgress afterPause() {
        return new SubmissionProgress(idempotent, hasKey, possibleRuns, possibleRuns, lastOutcome);
    }

    /** Returns the progress after one more attempt has ended. */
    public SubmissionProgress after(Outcome outcome) {
        int possibleRun = outcome instanceof Outcome.NotRun ? 0 : 1;
        return new SubmissionProgress(
                idempotent, hasKey, attempts + 1, possibleRuns + possibleRun, outcome);
    }

    /**
     * Returns the progress after an attempt has ended that already counts as a possible run: one
     * less if it is proven not to have run.
     */
    public SubmissionProgress withEarlier(Outcome outcome) {
        int possibleRun = outcome instanceof Outcome.NotRun ? 1 : 0;
        return new SubmissionProgress(
                idempotent, hasKey, attempts, possibleRuns - possibleRun, lastOutcome);
    }
}
