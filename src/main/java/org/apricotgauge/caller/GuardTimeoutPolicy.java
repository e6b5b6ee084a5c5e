package org.apricotgauge.caller;

import org.apricotgauge.model.Checks;

/**
 * Decides how long a guard may send nothing before it counts as silent.
 *
 * <pre>{@code
 * long millis = GuardTimeoutPolicy.DEFAULT.acknowledgementTimeoutMillis(lagMillis);
 * }</pre>
 *
 * <p>An entry that is short of processor time handles all messages late. If it blamed the paths, it
 * would fence and retry requests that are running, and the extra work would increase its lag. So
 * the timeouts grow with its own lag (the idea of Lifeguard, Dadgar et al. 2018).
 *
 * @param baseAcknowledgementTimeoutMillis longest wait for the first acknowledgement without lag
 * @param heartbeatTimeoutMillis longest wait for the next one without lag; the guard sends one
 *     every second
 * @param lagFactor factor by which the lag is multiplied before it is added
 * @param maxExtraMillis most that the lag adds, so that the timeouts stay bounded
 */
record GuardTimeoutPolicy(
        long baseAcknowledgementTimeoutMillis,
        long heartbeatTimeoutMillis,
        int lagFactor,
        long maxExtraMillis) {
    /** Half a second, 3.5 s, and up to 2 s more while the entry lags. */
    static final GuardTimeoutPolicy DEFAULT = new GuardTimeoutPolicy(500, 3_500, 8, 2_000);

    /** Validates the components. */
    GuardTimeoutPolicy {
        Checks.inRange(
                "baseAcknowledgementTimeoutMillis", baseAcknowledgementTimeoutMillis, 1, 60_000);
        Checks.inRange("heartbeatTimeoutMillis", heartbeatTimeoutMillis, 1, 60_000);
        Checks.inRange("lagFactor", lagFactor, 0, 1_000);
        Checks.inRange("maxExtraMillis", maxExtraMillis, 0, 60_000);
    }

    /** Returns the longest wait for the first acknowledgement, in milliseconds. */
    long acknowledgementTimeoutMillis(long lagMillis) {
        return baseAcknowledgementTimeoutMillis + extraMillis(lagMillis);
    }

    /** Returns the longest wait for each later acknowledgement, in milliseconds. */
    long heartbeatTimeoutMillis(long lagMillis) {
        return heartbeatTimeoutMillis + extraMillis(lagMillis);
    }

    private long extraMillis(long lagMillis) {
        return Math.min(maxExtraMillis, lagFactor * Math.max(0, lagMillis));
    }
}
