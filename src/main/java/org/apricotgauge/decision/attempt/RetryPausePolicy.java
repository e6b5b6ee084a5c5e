package org.apricotgauge.decision.attempt;

import java.util.OptionalLong;
import org.apricotgauge.model.Checks;

/**
 * Decides whether a request whose attempts were all refused is tried again after a pause.
 *
 * <pre>{@code
 * OptionalLong pauseMillis = RetryPausePolicy.DEFAULT.pauseMillis(progress, 0, remaining, maxRuns);
 * }</pre>
 *
 * <p>A guard cancels a run that seems to hang so that another target can serve the request. If all
 * of them refuse it for the moment, its caller would get an error within milliseconds, though there
 * is time for another run. A request without a run is refused at once instead, as proven not run.
 *
 * @param firstMillis shortest pause, in milliseconds; it doubles with each one
 * @param maxMillis longest pause, in milliseconds
 * @param maxPauses most pauses of one request
 */
public record RetryPausePolicy(long firstMillis, long maxMillis, int maxPauses) {
    /** Pauses of 100 ms to 1 s, six at most: some 3 s in all. */
    public static final RetryPausePolicy DEFAULT = new RetryPausePolicy(100, 1_000, 6);

    /** Validates the components. */
    public RetryPausePolicy {
        Checks.inRange("firstMillis", firstMillis, 1, 60_000);
        Checks.inRange("maxMillis", maxMillis, firstMillis, 60_000);
        Checks.inRange("maxPauses", maxPauses, 0, 30);
    }

    /**
     * Returns how long to pause before the next attempt; empty if the request ends now.
     *
     * @param progress progress of the submission, whose last attempt has ended
     * @param pauses number of pauses so far
     * @param remainingMillis time left to the caller's deadline, in milliseconds
     * @param maxRuns most targets that may run the request
     */
    public OptionalLong pauseMillis(
            SubmissionProgress progress, int pauses, long remainingMillis, int maxRuns) {
        boolean lostRun = progress.idempotent() && progress.mayHaveRun();
        if (!lostRun || progress.possibleRuns() >= maxRuns || pauses >= maxPauses) {
            return OptionalLong.empty();
        }
        if (!(progress.lastOutcome() instanceof Outcome.NotRun refusal)
                || !isTemporary(refusal.reason())) {
            return OptionalLong.empty();
        }
        long pauseMillis = Math.min(maxMillis, firstMillis << pauses);
        return 2 * pauseMillis < remainingMillis
                ? OptionalLong.of(pauseMillis)
                : OptionalLong.empty();
    }

    private static boolean isTemporary(NotRunReason reason) {
        return switch (reason) {
            case QUARANTINED,
                    OVER_LIMIT,
                    LIMIT_UNKNOWN,
                    KEY_HISTORY_UNKNOWN,
                    KEY_HOME_UNREACHABLE,
                    PREDECESSOR_UNREACHABLE,
                    CANCELLED ->
                    false;
            // Also a deadline: the time that a target's queue allows is less than the caller's.
            default -> true;
        };
    }
}
