package org.apricotgauge.time;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.apricotgauge.model.Checks;

/**
 * A monotonic clock that also counts the time during which the VM was suspended.
 *
 * <pre>{@code
 * SuspendAwareClock clock = new SuspendAwareClock(Ticker.system(), System::currentTimeMillis);
 * long ageMillis = clock.millis() - confirmedMillis;
 * }</pre>
 *
 * <p>The monotonic clock of a VM stops during a suspension, so an age measured by it, and reported
 * to other nodes, is too low by the whole suspension. The wall clock continues, but it may be set.
 * Between two readings, the larger advance of the two clocks therefore counts: a suspension is
 * never missed, a step back of the wall clock has no effect, and a step forward makes ages too
 * high, which costs one query. Thread-safe.
 */
public final class SuspendAwareClock {
    private final Ticker mTicker;
    private final LongSupplier mWallMillis;
    private final AtomicReference<Reading> mLast;

    private record Reading(long monotonicMillis, long wallMillis, long elapsedMillis) {
        Reading advanceTo(long nowMonotonicMillis, long nowWallMillis) {
            long monotonicElapsedMillis = Math.max(0, nowMonotonicMillis - monotonicMillis);
            long wallElapsedMillis = nowWallMillis - wallMillis;
            // Both clocks are truncated to milliseconds at different phases: they may differ by 1.
            boolean wasSuspended = wallElapsedMillis > monotonicElapsedMillis + 1;
            long advanceMillis = wasSuspended ? wallElapsedMillis : monotonicElapsedMillis;
            return new Reading(
                    Math.max(monotonicMillis, nowMonotonicMillis),
                    nowWallMillis,
                    elapsedMillis + advanceMillis);
        }
    }

    /**
     * Creates a clock.
     *
     * @param ticker monotonic clock
     * @param wallMillis wall clock, in milliseconds
     */
    public SuspendAwareClock(Ticker ticker, LongSupplier wallMillis) {
        mTicker = Checks.notNull("ticker", ticker);
        mWallMillis = Checks.notNull("wallMillis", wallMillis);
        long monotonicMillis = ticker.millis();
        mLast =
                new AtomicReference<>(
                        new Reading(monotonicMillis, wallMillis.getAsLong(), monotonicMillis));
    }

    /** Returns the current reading in milliseconds; its origin is arbitrary. */
    public long millis() {
        long monotonicMillis = mTicker.millis();
        long wallMillis = mWallMillis.getAsLong();
        return mLast.updateAndGet(last -> last.advanceTo(monotonicMillis, wallMillis))
                .elapsedMillis();
    }
}
