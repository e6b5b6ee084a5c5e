package org.apricotgauge.decision;

/**
 * Limits a rate, such as bytes per second, and allows bursts.
 *
 * <pre>{@code
 * TokenBucket bucket = new TokenBucket(5_000, 5_000, ticker.millis());
 * if (bucket.tryConsume(text.length(), ticker.millis())) { send(text); }
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final double mRatePerSecond;
    private final double mBurst;
    private double mAvailable;
    private long mLastRefillMillis;

    /** Creates a full bucket. */
    public TokenBucket(double ratePerSecond, double burst, long nowMillis) {
        mRatePerSecond = ratePerSecond;
        mBurst = burst;
        mAvailable = burst;
        mLastRefillMillis = nowMillis;
    }

    /** Consumes the tokens if enough are available, and returns whether it did. */
    public boolean tryConsume(int tokens, long nowMillis) {
        double refill = (nowMillis - mLastRefillMillis) / MILLIS_PER_SECOND * mRatePerSecond;
        mAvailable = Math.min(mBurst, mAvailable + refill);
        mLastRefillMillis = nowMillis;
        if (mAvailable < tokens) {
            return false;
        }
        mAvailable -= tokens;
        return true;
    }
}
