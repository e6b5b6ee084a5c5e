package org.apricotgauge.target;

import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;

/**
 * What one request costs of the retries that the fleet may make, at the guard of its target.
 *
 * <pre>{@code
 * if (!pass.tryPass()) {
 *     return notRun(NotRunReason.RETRIES_SPENT);
 * }
 * boolean paid = pass.tryPayNext();           // the target failed it: its next run is paid for
 * }</pre>
 *
 * <p>Each guard has an equal part of the retries, so that they hold in sum. The parts of those
 * whose targets fail would stand unused, since nothing is sent there again, while those of the few
 * healthy ones are spent: so the guard whose target fails a request pays for its next run.
 * Thread-safe.
 */
final class RetryCharge {
    private final Kind mKind;
    private final RetryBudget mBudget;
    private final Ticker mTicker;
    private final Runnable mOnRetry;

    /** What the request is to its service. */
    private enum Kind {
        /** The first run of a caller's request; retries are a share of these. */
        FIRST_RUN,
        /** The first run of a call; what targets send each other is no traffic of callers. */
        NESTED_CALL,
        /** A call of a repeated run. */
        NESTED_CALL_OF_RETRY,
        /** A further run. */
        RETRY,
        /** A further run that the guard of the one before has paid for. */
        PREPAID_RETRY
    }

    /**
     * Creates the pass of one request.
     *
     * @param headers headers of the hop
     * @param budget this guard's part of the service's retries
     * @param ticker present time
     * @param onRepeat called when a further run starts
     */
    RetryCharge(HttpFields headers, RetryBudget budget, Ticker ticker, Runnable onRepeat) {
        mKind = kindOf(headers);
        mBudget = budget;
        mTicker = ticker;
        mOnRetry = onRepeat;
    }

    private static Kind kindOf(HttpFields headers) {
        String repeat = headers.get(HeaderNames.RETRY);
        if (HeaderNames.RETRY_PREPAID.equals(repeat)) {
            return Kind.PREPAID_RETRY;
        }
        if (HeaderNames.RETRY_OF_PARENT.equals(repeat)) {
            return Kind.NESTED_CALL_OF_RETRY;
        }
        if (repeat != null) {
            return Kind.RETRY;
        }
        return headers.contains(HeaderNames.NESTED_CALL) ? Kind.NESTED_CALL : Kind.FIRST_RUN;
    }

    /** Asked just before the request goes to its target; false if the budget is spent. */
    boolean tryCharge() {
        switch (mKind) {
            case FIRST_RUN -> mBudget.onRequest();
            // Turned away, it would fail a run that has been paid for; so it is charged afterwards.
            case NESTED_CALL_OF_RETRY -> mBudget.charge();
            case RETRY -> {
                if (!mBudget.tryRetry(mTicker.millis())) {
                    return false;
                }
            }
            default -> {
                // Costs nothing here.
            }
        }
        if (mKind == Kind.RETRY || mKind == Kind.PREPAID_RETRY) {
            mOnRetry.run();
        }
        return true;
    }

    /**
     * Pays for another run of a request that has not failed yet; false unless enough is left for
     * those that have.
     */
    boolean tryPrepayEarlyRetry() {
        return mBudget.tryRetryIfHalfFull(mTicker.millis());
    }

    /** Pays for another run of the request; false if the budget is spent. */
    boolean tryPrepayRetry() {
        return mBudget.tryRetry(mTicker.millis());
    }
}
