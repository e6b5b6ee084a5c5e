package org.apricotgauge.caller;

import org.apricotgauge.decision.health.RunTimeEstimator;

/**
 * Estimates, for each route, after which time a request that this entry sends is overdue.
 *
 * <pre>{@code
 * runTimes.recordAnswer("route-7", 268);
 * long millis = runTimes.overdueMillis("route-7", softDeadlineMillis);
 * }</pre>
 *
 * <p>Answers of all targets count alike. Thread-safe.
 */
final class RouteRunTimes {
    private final RunTimeEstimator mEstimator = new RunTimeEstimator();

    /** Records the time from sending an attempt to its answer, in milliseconds. */
    void recordAnswer(String routeId, long millis) {
        mEstimator.answered(routeId, millis);
    }

    /**
     * Returns the time after which an attempt is overdue, in milliseconds; derived from the soft
     * deadline while few answers are known.
     */
    long overdueMillis(String routeId, long softDeadlineMillis) {
        return mEstimator.runTimeoutMillis(routeId, Math.max(0, softDeadlineMillis));
    }

    /** Returns the mean time to an answer, in milliseconds; 0 while few answers are known. */
    long meanMillis(String routeId) {
        return mEstimator.meanMillis(routeId);
    }
}
