package org.apricotgauge.time;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A ticker that advances only on request, for tests and simulations.
 *
 * <pre>{@code
 * ManualTicker ticker = new ManualTicker();
 * ticker.advanceMillis(250);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class ManualTicker implements Ticker {
    private final AtomicLong mNowNanos = new AtomicLong();

    @Override
    public long nanos() {
        return mNowNanos.get();
    }

    /**
     * Advances the ticker.
     *
     * @param millis the amount, in milliseconds; not negative
     * @throws IllegalArgumentException if {@code millis} is negative
     */
    public void advanceMillis(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("millis must not be negative, was " + millis);
        }
        mNowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
