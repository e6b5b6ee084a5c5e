package org.apricotgauge.operator;

import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.time.Ticker;

/** A token bucket: so many requests a second, and a burst. */
final class RateBound {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Ticker mTicker;
    private final long mNanosPerRequest;
    private final long mBurstNanos;
    private final AtomicLong mSpentUntilNanos;

    RateBound(Ticker ticker, int requestsPerSecond, int burst) {
        mTicker = ticker;
        mNanosPerRequest = NANOS_PER_SECOND / requestsPerSecond;
        mBurstNanos = burst * mNanosPerRequest;
        mSpentUntilNanos = new AtomicLong(ticker.nanos() - mBurstNanos);
    }

    /** Takes one request from the bucket; false if it is empty. */
    boolean tryTake() {
        long nowNanos = mTicker.nanos();
        while (true) {
            long spentNanos = mSpentUntilNanos.get();
            long fromNanos = Math.max(spentNanos, nowNanos - mBurstNanos);
            long nextNanos = fromNanos + mNanosPerRequest;
            if (nextNanos > nowNanos) {
                return false;
            }
            if (mSpentUntilNanos.compareAndSet(spentNanos, nextNanos)) {
                return true;
            }
        }
    }
}
