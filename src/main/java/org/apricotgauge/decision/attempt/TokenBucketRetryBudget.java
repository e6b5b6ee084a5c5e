package org.apricotgauge.decision.attempt;

import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.decision.retry.RetryRank;
import org.apricotgauge.model.Checks;

/**
 * Limits the retries of one service to a share of its traffic (token bucket).
 *
 * <pre>{@code
 * RetryBudget budget = new TokenBucketRetryBudget(0.1, 10, 1);
 * budget.onRequest(now); // for each first attempt
 * if (budget.tryRetry(now, rank)) { ... } // for each further attempt
 * }</pre>
 *
 * <p>A fixed number of retries per request multiplies the load on a service that fails as a whole
 * and prevents its recovery. With a share of 0.1 the load is at most 1.1 times the traffic, plus a
 * constant refill that allows retries to a service with little traffic. Thread-safe and lock-free.
 */
public final class TokenBucketRetryBudget implements RetryBudget {
    private static final long UNITS_PER_TOKEN = 1_000_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final long mUnitsPerRequest;
    private final long mCapacity;
    private final long mRefillPerMilli;
    private final AtomicLong mUnits;
    private final AtomicLong mRefilledAtMillis = new AtomicLong(Long.MIN_VALUE);

    /**
     * Creates a full budget.
     *
     * @param share retries per request, from 0 to 1
     * @param burst capacity: most retries in a burst after an idle time
     * @param minPerSecond retries allowed per second independent of the traffic
     */
    public TokenBucketRetryBudget(double share, double burst, double minPerSecond) {
        mUnitsPerRequest = Math.round(Checks.inRange("share", share, 0, 1) * UNITS_PER_TOKEN);
        mCapacity = Math.round(Checks.inRange("burst", burst, 1.0, 100_000.0) * UNITS_PER_TOKEN);
        mRefillPerMilli =
                Math.round(
                        Checks.inRange("minPerSecond", minPerSecond, 0.0, 1_000.0)
                                * UNITS_PER_TOKEN
                                / MILLIS_PER_SECOND);
        mUnits = new AtomicLong(mCapacity);
    }

    /**
     * Returns a budget that was empty at a given time and has been refilled since.
     *
     * @param sinceMillis when the budget was empty: the start of the process
     */
    public static TokenBucketRetryBudget startingEmpty(
            long sinceMillis, double share, double burst, double minPerSecond) {
        TokenBucketRetryBudget budget = new TokenBucketRetryBudget(share, burst, minPerSecond);
        budget.mUnits.set(0);
        budget.mRefilledAtMillis.set(sinceMillis);
        return budget;
    }

    @Override
    public void onRequest(long nowMillis) {
        deposit(mUnitsPerRequest);
    }

    @Override
    public boolean tryRetry(long nowMillis, RetryRank rank) {
        refill(nowMillis);
        long before =
                mUnits.getAndUpdate(
                        tokens -> tokens >= UNITS_PER_TOKEN ? tokens - UNITS_PER_TOKEN : tokens);
        return before >= UNITS_PER_TOKEN;
    }

    @Override
    public boolean tryRetryIfHalfFull(long nowMillis) {
        refill(nowMillis);
        long minTokens = Math.max(UNITS_PER_TOKEN, mCapacity / 2);
        long before =
                mUnits.getAndUpdate(
                        tokens -> tokens >= minTokens ? tokens - UNITS_PER_TOKEN : tokens);
        return before >= minTokens;
    }

    @Override
    public void charge(long nowMillis) {
        mUnits.updateAndGet(tokens -> Math.max(-mCapacity, tokens - UNITS_PER_TOKEN));
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
        mUnits.updateAndGet(tokens -> Math.min(mCapacity, tokens + amount));
    }
}
