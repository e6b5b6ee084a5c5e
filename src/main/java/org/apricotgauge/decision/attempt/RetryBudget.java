package org.apricotgauge.decision.attempt;

import org.apricotgauge.decision.retry.RetryRank;

/** Limits the retries of one service at one node. Implementations are thread-safe. */
public interface RetryBudget {
    /** Returns an empty budget, for a service that is not configured. */
    static RetryBudget none() {
        return TokenBucketRetryBudget.startingEmpty(0, 0, 1, 0);
    }

    /** Counts a first attempt. */
    void onRequest(long nowMillis);

    /** Takes a token for one retry of the first rank if one is available. */
    default boolean tryRetry(long nowMillis) {
        return tryRetry(nowMillis, RetryRank.FIRST);
    }

    /**
     * Takes a token for one retry if one is available to its rank.
     *
     * @param rank what the retry gains; a budget without ranks treats all alike
     */
    boolean tryRetry(long nowMillis, RetryRank rank);

    /** Takes a token for one retry if the budget is at least half full. */
    boolean tryRetryIfHalfFull(long nowMillis);

    /** Takes a token for a retry that happens in any case; a negative budget delays later ones. */
    void charge(long nowMillis);
}
