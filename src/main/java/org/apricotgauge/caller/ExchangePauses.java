package org.apricotgauge.caller;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.attempt.RetryPausePolicy;
import org.apricotgauge.decision.attempt.SubmissionProgress;

/**
 * The pauses of one exchange whose attempts were all refused. Used under the lock of its exchange;
 * otherwise not thread-safe.
 */
final class ExchangePauses {
    private final CallerExchange mExchange;
    private int mCount;

    ExchangePauses(CallerExchange exchange) {
        mExchange = exchange;
    }

    /** Returns how long to pause before the next attempt; empty if the request ends now. */
    OptionalLong next(SubmissionProgress progress, int maxRuns) {
        OptionalLong pauseMillis =
                RetryPausePolicy.DEFAULT.pauseMillis(
                        progress, mCount, mExchange.deadline().remainingMillis(), maxRuns);
        if (pauseMillis.isPresent()) {
            mCount++;
            mExchange.recordStep("pause of " + pauseMillis.getAsLong() + " ms");
        }
        return pauseMillis;
    }

    /** Continues the exchange after a pause; if it has ended by then, nothing is sent. */
    void schedule(long pauseMillis, Runnable next) {
        mExchange.context().scheduler().schedule(next, pauseMillis, TimeUnit.MILLISECONDS);
    }
}
