package org.apricotgauge.caller;

import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.SubmissionProgress;
import org.apricotgauge.decision.attempt.UnknownReason;

/** Outcomes of requests that the entry itself ends, and what they tell. */
final class FinalOutcomes {
    private static final long NO_TARGET_RETRY_AFTER_MILLIS = 1_000;

    /** Within it, callers of a stopping node are directed to another. */
    private static final long LEAVING_RETRY_AFTER_MILLIS = 1_000;

    private FinalOutcomes() {}

    /** Returns the outcome of a request that is quarantined for so many milliseconds more. */
    static Outcome quarantined(SubmissionProgress progress, long quarantineMillis) {
        return progress.mayHaveRun()
                ? new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT)
                : new Outcome.NotRun(NotRunReason.QUARANTINED, quarantineMillis);
    }

    /** Returns the outcome of a request that did not run before this node ends. */
    static Outcome leaving() {
        return new Outcome.NotRun(NotRunReason.LEAVING, LEAVING_RETRY_AFTER_MILLIS);
    }

    /** Returns the outcome of a request for which no target is left. */
    static Outcome withoutTarget(SubmissionProgress progress) {
        if (progress.mayHaveRun()) {
            return new Outcome.Unknown(UnknownReason.FORGOTTEN);
        }
        return progress.lastOutcome() instanceof Outcome.NotRun notRun
                ? notRun
                : new Outcome.NotRun(NotRunReason.TARGET_UNREACHABLE, NO_TARGET_RETRY_AFTER_MILLIS);
    }

    /** Returns the outcome to tell after the last attempt, in place of one that was held back. */
    static Outcome ofHeld(Outcome held, SubmissionProgress progress) {
        return progress.mayHaveRun() ? held : withoutTarget(progress);
    }

    /** Returns whether an attempt with this outcome caused load at a target. */
    static boolean reachedTarget(Outcome outcome) {
        return !(outcome instanceof Outcome.NotRun notRun)
                || notRun.reason() == NotRunReason.TARGET_SHED
                || notRun.reason() == NotRunReason.TARGET_REPLACED;
    }

    /** Returns the outcome of a request that the predecessor did not answer. */
    static Outcome withoutPredecessor(boolean notSent) {
        return notSent
                ? new Outcome.NotRun(
                        NotRunReason.PREDECESSOR_UNREACHABLE, NO_TARGET_RETRY_AFTER_MILLIS)
                : new Outcome.Unknown(UnknownReason.NO_GUARD);
    }
}
