package org.apricotgauge.target;

import org.apricotgauge.model.Checks;

/**
 * Deadline by which an attempt must end at its target.
 *
 * <pre>{@code
 * long remainingMillis = deadline.remainingMillis(ticker.millis());
 * }</pre>
 *
 * <p>The attempt itself carries its latest <i>start</i>, which lies shortly before the entry's
 * deadline so that a rejection by the guard still arrives in time. A run that has started may use
 * all the remaining time. If it were aborted at the latest start, an answer in the last tenth of a
 * second would be lost, and a stopping node would appear to abandon requests in flight.
 *
 * @param deadlineMillis when the entry's deadline passes, by the guard's clock
 */
record RunDeadline(long deadlineMillis) {

    /**
     * Returns the deadline of an attempt that has just arrived.
     *
     * @param timeoutMillis time left as stated by the entry; not positive if it stated none
     * @param latestStartMillis the attempt's latest start, by the guard's clock
     * @param nowMillis reading of the guard's clock
     */
    static RunDeadline of(long timeoutMillis, long latestStartMillis, long nowMillis) {
        Checks.inRange("nowMillis", nowMillis, Long.MIN_VALUE / 2, Long.MAX_VALUE / 2);
        return new RunDeadline(timeoutMillis > 0 ? nowMillis + timeoutMillis : latestStartMillis);
    }

    /** Returns the time left to the deadline, at least one millisecond. */
    long remainingMillis(long nowMillis) {
        return Math.max(1, deadlineMillis - nowMillis);
    }
}
