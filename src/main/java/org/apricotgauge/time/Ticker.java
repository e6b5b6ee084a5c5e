package org.apricotgauge.time;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock for intervals; injected so that tests choose the time.
 *
 * <pre>{@code
 * long startNanos = ticker.nanos();
 * }</pre>
 *
 * <p>Readings of one ticker may be subtracted from each other; they mean nothing across processes.
 */
@FunctionalInterface
public interface Ticker {

    /** Returns the present reading in nanoseconds; its origin is arbitrary. */
    long nanos();

    /** Returns the present reading in whole milliseconds. */
    default long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos());
    }

    /** Returns the ticker of the running machine. */
    static Ticker system() {
        return System::nanoTime;
    }
}
