package org.apricotgauge.caller;

import java.util.concurrent.TimeUnit;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Measures the scheduling lag of this process: the delay of a task that is due every 100 ms.
 *
 * <p>The value rises at once and decays by half in about a second.
 */
final class LagMeter {
    private static final long PERIOD_MILLIS = 100;
    private static final double DECAY_PER_PERIOD = 0.932;

    private final Scheduler mScheduler;
    private final Ticker mTicker;
    private volatile long mDueMillis = Long.MAX_VALUE;
    private volatile double mLagMillis;

    LagMeter(Scheduler scheduler, Ticker ticker) {
        mScheduler = scheduler;
        mTicker = ticker;
    }

    void start() {
        mDueMillis = mTicker.millis() + PERIOD_MILLIS;
        mScheduler.schedule(this::tick, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the lag; a task that is overdue counts already. */
    long lagMillis() {
        return Math.max((long) mLagMillis, mTicker.millis() - mDueMillis);
    }

    private void tick() {
        long lateMillis = Math.max(0, mTicker.millis() - mDueMillis);
        mLagMillis = Math.max(lateMillis, mLagMillis * DECAY_PER_PERIOD);
        start();
    }
}
