package org.apricotgauge.decision;

/**
 * Bounds a rate: so many bytes a second, with a burst.
 *
 * <pre>{@code
 * TokenBucket bucket = new TokenBucket(5_000, 5_000, ticker.millis());
 * if (bucket.take(text.length(), ticker.millis())) { send(text); }
 * }</pre>
 *
 * <p>Not thread-safe; its owner takes turns.
 */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final double mRatePerSecond;
    private final double mBurst;
    private double mAvailable;
    private long mLastRefillMillis;

    /** Creates a full bucket. */
    public TokenBucket(double rateBytesPerSecond, double burstBytes, long nowMillis) {
        mRatePerSecond = rateBytesPerSecond;
        mBurst = burstBytes;
        mAvailable = burstBytes;
        mLastRefillMillis = nowMillis;
    }

    /** Takes the bytes if they are there. */
    public boolean tryConsume(int bytes, long nowMillis) {
        double refill = (nowMillis - mLastRefillMillis) / MILLIS_PER_SECOND * mRatePerSecond;
        mAvailable = Math.min(mBurst, mAvailable + refill);
        mLastRefillMillis = nowMillis;
        if (mAvailable < bytes) {
            return false;
        }
        mAvailable -= bytes;
        return true;
    }
}
