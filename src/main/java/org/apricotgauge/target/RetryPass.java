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
final class RetryPass {
    private final Kind mKind;
    private final RetryBudget mBudget;
    private final Ticker mTicker;
    private final Runnable mOnRepeat;

    /** What the request is to its service. */
    private enum Kind {
        /** The first run of a caller's request; retries are a share of these. */
        FIRST,
        /** The first run of a call; what targets send each other is no traffic of callers. */
        CALL,
        /** A call of a repeated run. */
        CALL_OF_REPEAT,
        /** A further run. */
        REPEAT,
        /** A further run that the guard of the one before has paid for. */
        PAID_REPEAT
    }

    /**
     * Creates the pass of one request.
     *
     * @param headers headers of the hop
     * @param budget this guard's part of the service's retries
     * @param ticker present time
     * @param onRepeat called when a further run starts
     */
    RetryPass(HttpFields headers, RetryBudget budget, Ticker ticker, Runnable onRepeat) {
        mKind = kindOf(headers);
        mBudget = budget;
        mTicker = ticker;
        mOnRepeat = onRepeat;
    }

    private static Kind kindOf(HttpFields headers) {
        String repeat = headers.get(HeaderNames.REPEAT);
        if (HeaderNames.REPEAT_PAID.equals(repeat)) {
            return Kind.PAID_REPEAT;
        }
        if (HeaderNames.REPEAT_PARENT.equals(repeat)) {
            return Kind.CALL_OF_REPEAT;
        }
        if (repeat != null) {
            return Kind.REPEAT;
        }
        return headers.contains(HeaderNames.CALL) ? Kind.CALL : Kind.FIRST;
    }

    /** Asked just before the request goes to its target; false if the budget is spent. */
    boolean tryPass() {
        switch (mKind) {
            case FIRST -> mBudget.onRequest();
            // Turned away, it would fail a run that has been paid for; so it is charged afterwards.
            case CALL_OF_REPEAT -> mBudget.charge();
            case REPEAT -> {
                if (!mBudget.tryRetry(mTicker.millis())) {
                    return false;
                }
            }
            default -> {
                // Costs nothing here.
            }
        }
        if (mKind == Kind.REPEAT || mKind == Kind.PAID_REPEAT) {
            mOnRepeat.run();
        }
        return true;
    }

    /**
     * Pays for another run of a request that has not failed yet; false unless enough is left for
     * those that have.
     */
    boolean tryPayNextOfMany() {
        return mBudget.tryRetryIfHalfFull(mTicker.millis());
    }

    /** Pays for another run of the request; false if the budget is spent. */
    boolean tryPayNext() {
        return mBudget.tryRetry(mTicker.millis());
    }
}
