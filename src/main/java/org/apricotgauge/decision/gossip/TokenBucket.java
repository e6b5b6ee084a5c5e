package org.apricotgauge.decision.gossip;

/** Bounds a rate: so many bytes a second, with a burst. */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final double mRateBytesPerSecond;
    private final double mBurstBytes;
    private double mLeftBytes;
    private long mLastMillis;

    TokenBucket(double rateBytesPerSecond, double burstBytes, long nowMillis) {
        mRateBytesPerSecond = rateBytesPerSecond;
        mBurstBytes = burstBytes;
        mLeftBytes = burstBytes;
        mLastMillis = nowMillis;
    }

    boolean take(int bytes, long nowMillis) {
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
