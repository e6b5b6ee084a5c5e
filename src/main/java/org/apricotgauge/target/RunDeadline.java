package org.apricotgauge.target;

import org.apricotgauge.model.Checks;

/**
 * How long an attempt may run at its target.
 *
 * <pre>{@code
 * long leftMillis = time.leftMillis(ticker.millis());
 * }</pre>
 *
 * <p>The attempt itself bears the latest moment at which it may <i>start</i>, which lies a little
 * before the entry's deadline, so that the guard's refusal still arrives in time. A run that has
 * started may use all the time there is: cut at the latest start, an answer of the last tenth of a
 * second would be thrown away, and a stopping node would seem to give up work in flight.
 *
 * @param deadlineMillis when the entry's deadline passes, by the guard's clock
 */
record RunDeadline(long deadlineMillis) {

    /**
     * Reads the time of an attempt that arrives.
     *
     * @param toldMillis time left when the entry sent it; not positive if it did not say
     * @param latestStartMillis the latest start, by the guard's clock
     * @param nowMillis the guard's clock
     */
    static RunDeadline of(long toldMillis, long latestStartMillis, long nowMillis) {
        Checks.inRange("nowMillis", nowMillis, Long.MIN_VALUE / 2, Long.MAX_VALUE / 2);
        return new RunDeadline(toldMillis > 0 ? nowMillis + toldMillis : latestStartMillis);
    }

    /** Returns the time left, at least one millisecond. */
    long remainingMillis(long nowMillis) {
        return Math.max(1, deadlineMillis - nowMillis);
    }
}
