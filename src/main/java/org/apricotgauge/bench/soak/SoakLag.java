package org.apricotgauge.bench.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apricotgauge.model.Checks;

/**
 * How late the soak's own threads are. On a busy machine a caller sees the end of a connection that
 * much later. Thread-safe.
 */
final class SoakLag {
    private static final long EVERY_MILLIS = 10;

    /** Shorter ones are not kept. */
    private static final long MIN_MILLIS = 20;

    private final LongSupplier mMillis;
    private final Map<Long, Long> mLagByTime = new ConcurrentSkipListMap<>();
    private long mDueMillis;

    SoakLag(LongSupplier millis) {
        mMillis = Checks.notNull("millis", millis);
    }

    /** Looks at the clock again and again from now on. */
    void start(ScheduledExecutorService timer) {
        mDueMillis = mMillis.getAsLong() + EVERY_MILLIS;
        timer.scheduleWithFixedDelay(this::look, EVERY_MILLIS, EVERY_MILLIS, TimeUnit.MILLISECONDS);
    }

    synchronized void look() {
        long now = mMillis.getAsLong();
        if (now - mDueMillis >= MIN_MILLIS) {
            mLagByTime.put(now, now - mDueMillis);
        }
        mDueMillis = now + EVERY_MILLIS;
    }

    /** Returns the greatest lag that ended in a time, in milliseconds. */
    long max(long fromMillis, long toMillis) {
        return mLagByTime.entrySet().stream()
                .filter(lag -> lag.getKey() >= fromMillis && lag.getKey() <= toMillis)
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(0);
    }
}
