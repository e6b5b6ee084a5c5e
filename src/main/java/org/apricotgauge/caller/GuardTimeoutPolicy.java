package org.apricotgauge.caller;

import org.apricotgauge.model.Checks;

/**
 * How long a guard may be silent before its path counts as dead.
 *
 * <pre>{@code
 * long millis = SilencePolicy.DEFAULT.firstWordMillis(lagMillis);
 * }</pre>
 *
 * <p>An entry that is itself short of processor time hears everybody late. Were it to blame the
 * paths, it would fence and repeat what is well under way, and the extra work would make it later
 * still. So its own lag stretches the bounds (the idea of Lifeguard, Dadgar et al. 2018).
 *
 * @param baseAcknowledgementTimeoutMillis longest wait for the first word while the entry is in
 *     time
 * @param heartbeatTimeoutMillis longest silence after it; the guard speaks every second
 * @param lagFactor how many times the lag is added
 * @param maxExtraMillis most that the lag adds, so that the bound stays a bound
 */
record GuardTimeoutPolicy(
        long baseAcknowledgementTimeoutMillis,
        long heartbeatTimeoutMillis,
        int lagFactor,
        long maxExtraMillis) {
    /** Half a second, 3.5 s, and up to 2 s more while the entry lags. */
    static final GuardTimeoutPolicy DEFAULT = new GuardTimeoutPolicy(500, 3_500, 8, 2_000);

    /** Checks the parts. */
    GuardTimeoutPolicy {
        Checks.inRange("baseFirstWordMillis", baseAcknowledgementTimeoutMillis, 1, 60_000);
        Checks.inRange("silenceMillis", heartbeatTimeoutMillis, 1, 60_000);
        Checks.inRange("lagFactor", lagFactor, 0, 1_000);
        Checks.inRange("maxExtraMillis", maxExtraMillis, 0, 60_000);
    }

    /** Returns the bound on the wait for the first word, in milliseconds. */
    long acknowledgementTimeoutMillis(long lagMillis) {
        return baseAcknowledgementTimeoutMillis + extraMillis(lagMillis);
    }

    /** Returns the bound on later silences, in milliseconds. */
    long heartbeatTimeoutMillis(long lagMillis) {
        return heartbeatTimeoutMillis + extraMillis(lagMillis);
    }

    private long extraMillis(long lagMillis) {
        return Math.min(maxExtraMillis, lagFactor * Math.max(0, lagMillis));
    }
}
