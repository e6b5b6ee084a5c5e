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

    private final double mRateBytesPerSecond;
    private final double mBurstBytes;
    private double mLeftBytes;
    private long mLastMillis;

    /** Creates a full bucket. */
    public TokenBucket(double rateBytesPerSecond, double burstBytes, long nowMillis) {
        mRateBytesPerSecond = rateBytesPerSecond;
        mBurstBytes = burstBytes;
        mLeftBytes = burstBytes;
        mLastMillis = nowMillis;
    }

    /** Takes the bytes if they are there. */
    public boolean take(int bytes, long nowMillis) {
        double refill = (nowMillis - mLastMillis) / MILLIS_PER_SECOND * mRateBytesPerSecond;
        mLeftBytes = Math.min(mBurstBytes, mLeftBytes + refill);
        mLastMillis = nowMillis;
        if (mLeftBytes < bytes) {
            return false;
        }
        mLeftBytes -= bytes;
        return true;
    }
}
