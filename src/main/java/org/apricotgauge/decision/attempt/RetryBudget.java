package org.apricotgauge.decision.attempt;

import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.model.Checks;

/**
 * Bounds retries of one service to a share of its traffic (token bucket).
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.1, 10, 1);
 * budget.onRequest(); // each first attempt
 * if (budget.tryRetry(now)) { ... } // each further attempt
 * }</pre>
 *
 * <p>A fixed count of retries alone multiplies the load of a service that fails as a whole, and
 * keeps it down. With a share of 0.1 the load is at most 1.1 times the traffic, plus a trickle that
 * lets a service with little traffic retry at all. Atomics only; safe to share.
 */
public final class RetryBudget {
    private static final long UNITS_PER_TOKEN = 1_000_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final long mTokensPerRequest;
    private final long mCapacity;
    private final long mRefillPerMilli;
    private final AtomicLong mTokens;
    private final AtomicLong mRefilledAtMillis = new AtomicLong(Long.MIN_VALUE);

    /**
     * Takes the bounds.
     *
     * @param share retries per request, from 0 to 1
     * @param burst retries that may come at once after a quiet time
     * @param minPerSecond retries allowed each second whatever the traffic
     */
    public RetryBudget(double share, double burst, double minPerSecond) {
        mTokensPerRequest = Math.round(Checks.inRange("share", share, 0, 1) * UNITS_PER_TOKEN);
        mCapacity = Math.round(Checks.inRange("burst", burst, 1.0, 100_000.0) * UNITS_PER_TOKEN);
        mRefillPerMilli =
                Math.round(
                        Checks.inRange("minPerSecond", minPerSecond, 0.0, 1_000.0)
                                * UNITS_PER_TOKEN
                                / MILLIS_PER_SECOND);
        mTokens = new AtomicLong(mCapacity);
    }

    /** Returns the budget of a service that the configuration does not name: there is none. */
    public static RetryBudget none() {
        return startingEmpty(0, 0, 1, 0);
    }

    /**
     * Takes the bounds of a budget that starts with what came in since a moment.
     *
     * @param sinceMillis since when retries have been saved up; the process's start
     */
    public static RetryBudget startingEmpty(
            long sinceMillis, double share, double burst, double minPerSecond) {
        RetryBudget budget = new RetryBudget(share, burst, minPerSecond);
        budget.mTokens.set(0);
        budget.mRefilledAtMillis.set(sinceMillis);
        return budget;
    }

    /** Counts a first attempt. */
    public void onRequest() {
        deposit(mTokensPerRequest);
    }

    /** Takes the budget of one retry if it is there. */
    public boolean tryRetry(long nowMillis) {
        refill(nowMillis);
        long before =
                mTokens.getAndUpdate(
                        tokens -> tokens >= UNITS_PER_TOKEN ? tokens - UNITS_PER_TOKEN : tokens);
        return before >= UNITS_PER_TOKEN;
    }

    /** Takes the budget of one retry if at least half of all that can be saved up is there. */
    public boolean tryRetryIfHalfFull(long nowMillis) {
        refill(nowMillis);
        long least = Math.max(UNITS_PER_TOKEN, mCapacity / 2);
        long before =
                mTokens.getAndUpdate(tokens -> tokens >= least ? tokens - UNITS_PER_TOKEN : tokens);
        return before >= least;
    }

    /** Takes the budget of a retry that happens in any case; the next ones pay for it. */
    public void charge() {
        mTokens.updateAndGet(tokens -> Math.max(-mCapacity, tokens - UNITS_PER_TOKEN));
    }

    private void refill(long nowMillis) {
        long beforeMillis = mRefilledAtMillis.getAndAccumulate(nowMillis, Math::max);
        if (beforeMillis == Long.MIN_VALUE || nowMillis <= beforeMillis) {
            return;
        }
        long elapsedMillis = Math.min(nowMillis - beforeMillis, mCapacity);
        deposit(Math.min(mCapacity, elapsedMillis * mRefillPerMilli));
    }

    private void deposit(long amount) {
        mTokens.updateAndGet(tokens -> Math.min(mCapacity, tokens + amount));
    }
}
