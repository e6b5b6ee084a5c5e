package org.apricotgauge.decision.detection;

/**
 * The ejection of one target, and its readmission after a few real requests as probes.
 *
 * <p>An ejected target gets no requests for its ejection time; then single requests probe it. They
 * run Wald's test in reverse: the log-likelihood ratio of the alternative that ejected the target
 * must fall by a required amount. Each ejection soon after the last doubles the ejection time and
 * raises the required evidence, up to a bound, and time without ejections lowers both again. So a
 * flapping target costs fewer and fewer requests, and a recovered one is never ejected for longer
 * than the bound.
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

    /** Evidence of degradation from the probes that restarts the ejection time. */
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
            long quietMillis = mConsecutiveEjections == 0 ? 0 : (nowMillis - mReadmittedMillis);
            mConsecutiveEjections =
                    Math.max(
                            0,
                            mConsecutiveEjections
                                    - (int) (quietMillis / QUIET_MILLIS_PER_EJECTION));
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

    /** Records a request that probed the target, with its score for degradation. */
    void recordProbe(double degradedNats, long nowMillis) {
        if (!isProbing(nowMillis)) {
            return;
        }
        mProbes++;
        mHealthyNats -= degradedNats;
        if (mHealthyNats <= -RELAPSE_NATS) {
            startEjectionTime(nowMillis);
        }
    }

    /** Ends the ejection without probes; the count of consecutive ejections stays. */
    void cancelEjection() {
        mIsEjected = false;
    }

    void readmit(long nowMillis) {
        mIsEjected = false;
        mReadmittedMillis = nowMillis;
    }
}
