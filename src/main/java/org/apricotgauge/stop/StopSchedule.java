package org.apricotgauge.stop;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
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
    private volatile LongSupplier mReserveMillis = () -> 0;
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

    /**
     * Ends the stop earlier by what the supplier returns at the time, in milliseconds; the process
     * keeps that for its own end.
     */
    public void keepReserve(LongSupplier reserveMillis) {
        mReserveMillis = Checks.notNull("reserveMillis", reserveMillis);
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
        if (endMillis == OPEN) {
            return NOT_STOPPING;
        }
        return Math.max(0, endMillis - mReserveMillis.getAsLong() - mTicker.millis());
    }
}
