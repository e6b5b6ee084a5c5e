package org.apricotgauge.target;

import java.util.Optional;
import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.decision.retry.RetryRank;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.model.Priority;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;

/**
 * Charges one request to the retry budget at the guard of its target.
 *
 * <pre>{@code
 * if (!charge.tryCharge()) {
 *     return notRun(NotRunReason.RETRIES_SPENT);
 * }
 * boolean prepaid = charge.tryPrepayRetry();  // the target failed the request: prepays its retry
 * }</pre>
 *
 * <p>Each guard has an equal share of the fleet's retry allowance, so that the sum is bounded. The
 * shares of guards whose targets fail would stay unused, since no retries are sent there, while
 * those of the few healthy targets run out. Therefore the guard whose target fails a request pays
 * for its next run. Thread-safe.
 */
final class RetryCharge {
    private final Kind mKind;
    private final RetryRank mRank;
    private final Optional<RetryRank> mWantedRank;
    private final RetryBudget mBudget;
    private final Ticker mTicker;
    private final Runnable mOnRetry;

    /** Role of the request in the traffic of its service. */
    private enum Kind {
        /** The first run of a caller's request; the retry budget is a share of these. */
        FIRST_RUN,
        /** The first run of a nested call, which doesn't count as callers' traffic. */
        NESTED_CALL,
        /** A nested call made by a retry. */
        NESTED_CALL_OF_RETRY,
        /** A retry. */
        RETRY,
        /** A retry that the guard of the previous run has prepaid. */
        PREPAID_RETRY
    }

    /**
     * Creates the charge of one request.
     *
     * @param headers headers of the hop
     * @param budget this guard's share of the service's retry budget
     * @param ticker clock of the budget
     * @param onRetry called when a retry may be sent
     */
    RetryCharge(HttpFields headers, RetryBudget budget, Ticker ticker, Runnable onRetry) {
        mKind = kindOf(headers);
        mRank = rankOf(headers);
        mWantedRank =
                Optional.ofNullable(headers.get(HeaderNames.RETRY_WANTED))
                        .map(RetryRank::parseOrLast);
        mBudget = budget;
        mTicker = ticker;
        mOnRetry = onRetry;
    }

    /** An entry of an earlier release sends no rank. */
    private static RetryRank rankOf(HttpFields headers) {
        String rank = headers.get(HeaderNames.RETRY_RANK);
        return rank == null
                ? new RetryRank(RetryRank.Use.FULL, Priority.NORMAL)
                : RetryRank.parseOrLast(rank);
    }

    private static Kind kindOf(HttpFields headers) {
        String retryHeader = headers.get(HeaderNames.RETRY);
        if (HeaderNames.RETRY_PREPAID.equals(retryHeader)) {
            return Kind.PREPAID_RETRY;
        }
        if (HeaderNames.RETRY_OF_PARENT.equals(retryHeader)) {
            return Kind.NESTED_CALL_OF_RETRY;
        }
        if (retryHeader != null) {
            return Kind.RETRY;
        }
        return headers.contains(HeaderNames.NESTED_CALL) ? Kind.NESTED_CALL : Kind.FIRST_RUN;
    }

    /** Charges the request just before it is sent; false if the budget is spent. */
    boolean tryCharge() {
        switch (mKind) {
            case FIRST_RUN -> mBudget.onRequest(mTicker.millis());
            // A rejection would fail a retry that is paid for, so the budget may become negative.
            case NESTED_CALL_OF_RETRY -> mBudget.charge(mTicker.millis());
            case RETRY -> {
                if (!mBudget.tryRetry(mTicker.millis(), mRank)) {
                    return false;
                }
            }
            default -> {
                // Nested calls are not charged, and a prepaid retry was charged before.
            }
        }
        if (mKind == Kind.RETRY || mKind == Kind.PREPAID_RETRY) {
            mOnRetry.run();
        }
        return true;
    }

    /**
     * Pays for a retry of a request that has not failed yet; false unless the budget is at least
     * half full, so that enough is left for retries of failed requests.
     */
    boolean tryPrepayEarlyRetry() {
        return mBudget.tryRetryIfHalfFull(mTicker.millis());
    }

    /** Pays for the next retry of the request; false if the budget is spent. */
    boolean tryPrepayRetry() {
        return mBudget.tryRetry(mTicker.millis(), mRank);
    }

    /** Pays for a retry of another request that waits at the entry; false if none does. */
    boolean tryPayForWaiting() {
        return mWantedRank.filter(rank -> mBudget.tryRetry(mTicker.millis(), rank)).isPresent();
    }
}
