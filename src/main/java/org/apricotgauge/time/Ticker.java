package org.apricotgauge.time;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock for measuring intervals; injected so that tests control the time.
 *
 * <pre>{@code
 * long startNanos = ticker.nanos();
 * }</pre>
 *
 * <p>Only differences between readings of the same ticker are meaningful, within one process.
 */
@FunctionalInterface
public interface Ticker {

    /** Returns the current reading in nanoseconds; its origin is arbitrary. */
    long nanos();

    /** Returns the current reading in whole milliseconds. */
    default long millis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos());
    }

    /** Returns the ticker of the system. */
    static Ticker system() {
        return System::nanoTime;
    }
}
