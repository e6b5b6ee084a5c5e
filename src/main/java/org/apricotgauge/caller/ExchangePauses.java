package org.apricotgauge.caller;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.attempt.RetryPausePolicy;

/**
 * The pauses of one exchange whose attempts were all refused. Used under the lock of its exchange;
 * otherwise not thread-safe.
 */
final class ExchangePauses {
    private final CallerExchange mExchange;
    private final RetryState mRetryState;
    private final TargetSelector mSelector;
    private int mCount;

    ExchangePauses(CallerExchange exchange, RetryState retryState, TargetSelector selector) {
        mExchange = exchange;
        mRetryState = retryState;
        mSelector = selector;
    }

    /**
     * Returns whether the exchange pauses, and starts over after that; otherwise it ends now.
     *
     * @param next called after the pause, also if the exchange has ended by then
     */
    boolean tryPause(Runnable next) {
        OptionalLong pauseMillis =
                RetryPausePolicy.DEFAULT.pauseMillis(
                        mRetryState.progress(),
                        mCount,
                        mExchange.deadline().remainingMillis(),
                        mRetryState.maxRuns());
        if (pauseMillis.isEmpty()) {
            return false;
        }
        mCount++;
        mExchange.recordStep("pause of " + pauseMillis.getAsLong() + " ms");
        startOver();
        mExchange
                .context()
                .scheduler()
                .schedule(next, pauseMillis.getAsLong(), TimeUnit.MILLISECONDS);
        return true;
    }

    /** Makes all targets candidates again, but for those that may be at work on the request. */
    void startOver() {
        mRetryState.startOver();
        mSelector.startOver();
    }

    /** Starts over at once if the request may run again; returns whether it may. */
    boolean tryStartOver() {
        startOver();
        return mRetryState.mayRetry();
    }
}
