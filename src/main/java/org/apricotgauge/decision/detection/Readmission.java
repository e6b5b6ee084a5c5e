package org.apricotgauge.decision.detection;

/**
 * The way of one target out of service and back, by a few real requests.
 *
 * <p>While out, a target gets no work for its hold time; then single requests try it. They run
 * Wald's test the other way round: the log-likelihood ratio of the very alternative that ejected
 * the target must fall by a required amount. Each ejection soon after the last doubles the hold
 * time and asks for more evidence, up to a bound, and quiet time takes the price down again: a
 * flapping target costs less and less work, and a mended one is never out for more than the bound.
 */
final class Readmission {
    private static final long BASE_EJECTION_MILLIS = 2_000;
    private static final long MAX_EJECTION_MILLIS = 300_000;
    private static final long QUIET_MILLIS_PER_EJECTION = 600_000;
    private static final int MAX_CONSECUTIVE_EJECTIONS = 8;
    private static final double BASE_PASS_NATS = Math.log(20);
    private static final int MIN_PROBES = 2;
    private static final int BASE_MAX_PROBES = 8;
    private static final int MAX_PROBES_PER_EJECTION = 2;

    /** Evidence of sickness while being tried that sends a target back to its hold time. */
    private static final double RELAPSE_NATS = 2;

    private boolean mIsEjected;
    private long mProbeFromMillis;
    private long mReadmittedMillis;
    private int mConsecutiveEjections;
    private int mProbes;
    private double mHealthyNats;

    boolean isEjected() {
        return mIsEjected;
    }

    int consecutiveEjections() {
        return mConsecutiveEjections;
    }

    boolean isProbing(long nowMillis) {
        return mIsEjected && nowMillis >= mProbeFromMillis;
    }

    boolean isPassed(long nowMillis) {
        if (!isProbing(nowMillis) || mProbes < MIN_PROBES) {
            return false;
        }
        return mHealthyNats >= BASE_PASS_NATS + mConsecutiveEjections * Math.log(2)
                || mProbes >= BASE_MAX_PROBES + MAX_PROBES_PER_EJECTION * mConsecutiveEjections;
    }

    long probeFromMillis() {
        return mProbeFromMillis;
    }

    void eject(long nowMillis) {
        if (!mIsEjected) {
            long quiet = mConsecutiveEjections == 0 ? 0 : (nowMillis - mReadmittedMillis);
            mConsecutiveEjections =
                    Math.max(0, mConsecutiveEjections - (int) (quiet / QUIET_MILLIS_PER_EJECTION));
        }
        mIsEjected = true;
        startEjectionTime(nowMillis);
    }

    private void startEjectionTime(long nowMillis) {
        mProbeFromMillis =
                nowMillis
                        + Math.min(
                                MAX_EJECTION_MILLIS, BASE_EJECTION_MILLIS << mConsecutiveEjections);
        mConsecutiveEjections = Math.min(MAX_CONSECUTIVE_EJECTIONS, mConsecutiveEjections + 1);
        mProbes = 0;
        mHealthyNats = 0;
    }

    /** Takes in a request that tried the target, with its score for being sick. */
    void recordProbe(double sickNats, long nowMillis) {
        if (!isProbing(nowMillis)) {
            return;
        }
        mProbes++;
        mHealthyNats -= sickNats;
        if (mHealthyNats <= -RELAPSE_NATS) {
            startEjectionTime(nowMillis);
        }
    }

    /** Takes the target back without trial; the price of its ejections stays. */
    void cancelEjection() {
        mIsEjected = false;
    }

    void readmit(long nowMillis) {
        mIsEjected = false;
        mReadmittedMillis = nowMillis;
    }
}
