package org.apricotgauge.stop;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.model.Checks;
import org.apricotgauge.time.Ticker;

/**
 * When this process ends: open until a stop begins, then fixed.
 *
 * <pre>{@code
 * schedule.begin(5_800);
 * long remainingMillis = schedule.remainingMillis();
 * }</pre>
 *
 * <p>Everything that ends with the process or waits for something in it reads this one schedule,
 * and peers are told the time that it leaves. Thread-safe.
 */
public final class StopSchedule {
    /** Returned by {@link #remainingMillis} while no stop has begun. */
    public static final long NOT_STOPPING = Long.MAX_VALUE;

    private static final long OPEN = Long.MAX_VALUE;

    private final Ticker mTicker;
    private final AtomicLong mEndMillis = new AtomicLong(OPEN);
    private volatile long mBeginMillis;
    private final CompletableFuture<Void> mBegun = new CompletableFuture<>();

    /** Creates a schedule without a stop. */
    public StopSchedule(Ticker ticker) {
        mTicker = Checks.notNull("ticker", ticker);
    }

    /**
     * Begins the stop; only the first call has an effect.
     *
     * @param durationMillis time until the process ends at the latest
     * @return whether this call began the stop
     */
    public boolean begin(long durationMillis) {
        Checks.inRange("durationMillis", durationMillis, 0, Integer.MAX_VALUE);
        long nowMillis = mTicker.millis();
        boolean first = mEndMillis.compareAndSet(OPEN, nowMillis + durationMillis);
        if (first) {
            mBeginMillis = nowMillis;
            mBegun.complete(null);
        }
        return first;
    }

    /** Returns whether a stop has begun; cheap enough for each request. */
    public boolean hasBegun() {
        return mEndMillis.get() != OPEN;
    }

    /** Returns a future that completes once a stop begins, on the thread that begins it. */
    public CompletableFuture<Void> begun() {
        return mBegun.copy();
    }

    /** Returns the milliseconds since the stop began; 0 while none has. */
    public long elapsedMillis() {
        return mBegun.isDone() ? mTicker.millis() - mBeginMillis : 0;
    }

    /**
     * Returns the milliseconds until the process ends; not negative, {@link #NOT_STOPPING} while no
     * stop has begun.
     */
    public long remainingMillis() {
        long endMillis = mEndMillis.get();
        return endMillis == OPEN ? NOT_STOPPING : Math.max(0, endMillis - mTicker.millis());
    }
}
