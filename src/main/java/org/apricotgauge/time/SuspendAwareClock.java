package org.apricotgauge.time;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.apricotgauge.model.Checks;

/**
 * Time that never stands still: it also counts what passed while the VM was suspended.
 *
 * <pre>{@code
 * ElapsedClock clock = new ElapsedClock(Ticker.system(), System::currentTimeMillis);
 * long ageMillis = clock.millis() - confirmedMillis;
 * }</pre>
 *
 * <p>A suspended VM's steady clock stands still, so that an age measured by it is too young by the
 * whole suspension, and whoever is told it believes so too. The time of day goes on; but it may be
 * set. So between two readings whichever of the two went further counts: a suspension is never
 * missed, a step back of the time of day changes nothing, and a step ahead makes ages too great,
 * which costs a question. Thread-safe.
 */
public final class SuspendAwareClock {
    private final Ticker mTicker;
    private final LongSupplier mWallMillis;
    private final AtomicReference<Reading> mLast;

    private record Reading(long monotonicMillis, long wallMillis, long elapsedMillis) {
        Reading advanceTo(long nowSteadyMillis, long nowWallMillis) {
            long steadyPassedMillis = Math.max(0, nowSteadyMillis - monotonicMillis);
            long wallPassedMillis = nowWallMillis - wallMillis;
            // Both clocks count whole milliseconds from different starts.
            boolean wasSuspended = wallPassedMillis > steadyPassedMillis + 1;
            long passedMillis = wasSuspended ? wallPassedMillis : steadyPassedMillis;
            return new Reading(
                    Math.max(monotonicMillis, nowSteadyMillis),
                    nowWallMillis,
                    elapsedMillis + passedMillis);
        }
    }

    /**
     * Creates a clock.
     *
     * @param ticker time of intervals
     * @param wallMillis time of day, in milliseconds
     */
    public SuspendAwareClock(Ticker ticker, LongSupplier wallMillis) {
        mTicker = Checks.notNull("ticker", ticker);
        mWallMillis = Checks.notNull("wallMillis", wallMillis);
        long steadyMillis = ticker.millis();
        mLast =
                new AtomicReference<>(
                        new Reading(steadyMillis, wallMillis.getAsLong(), steadyMillis));
    }

    /** Returns the time that has passed since some moment, in milliseconds. */
    public long millis() {
        long steadyMillis = mTicker.millis();
        long wallMillis = mWallMillis.getAsLong();
        return mLast.updateAndGet(last -> last.advanceTo(steadyMillis, wallMillis)).elapsedMillis();
    }
}
