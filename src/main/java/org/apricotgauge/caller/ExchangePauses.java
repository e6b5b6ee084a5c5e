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

    /**
     * Returns whether the exchange pauses; otherwise it ends now.
     *
     * @param next called after the pause, also if the exchange has ended by then
     */
    boolean tryPause(SubmissionProgress progress, Runnable next) {
        OptionalLong pauseMillis =
                RetryPausePolicy.DEFAULT.pauseMillis(
                        progress,
                        mCount,
                        mExchange.deadline().remainingMillis(),
                        mExchange.retryState().maxRuns());
        if (pauseMillis.isEmpty()) {
            return false;
        }
        mCount++;
        mExchange.recordStep("pause of " + pauseMillis.getAsLong() + " ms");
        mExchange
                .context()
                .scheduler()
                .schedule(next, pauseMillis.getAsLong(), TimeUnit.MILLISECONDS);
        return true;
    }
}
