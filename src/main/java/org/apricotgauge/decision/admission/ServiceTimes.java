package org.apricotgauge.decision.admission;

/** Moving mean of a target's service time, and the lowest such mean of late. */
final class ServiceTimes {
    private static final double WEIGHT = 0.05;
    private static final long WINDOW_MILLIS = 30_000;

    private double mMeanMicros;
    private boolean mMeasured;
    private double mLowestMicros = Double.MAX_VALUE;
    private double mLowestBeforeMicros = Double.MAX_VALUE;
    private long mWindowEndMillis = Long.MIN_VALUE;

    ServiceTimes(long initialMicros) {
        mMeanMicros = initialMicros;
    }

    void add(long micros, long nowMillis) {
        // The first sample replaces the assumption, which may be off by orders of magnitude.
        mMeanMicros = mMeasured ? mMeanMicros + WEIGHT * (micros - mMeanMicros) : micros;
        mMeasured = true;
        if (nowMillis >= mWindowEndMillis) {
            mLowestBeforeMicros = mLowestMicros;
            mLowestMicros = mMeanMicros;
            mWindowEndMillis = nowMillis + WINDOW_MILLIS;
        }
        mLowestMicros = Math.min(mLowestMicros, mMeanMicros);
    }

    double meanMicros() {
        return mMeanMicros;
    }

    /** Returns how many times the lowest mean of the last half to whole minute the mean is now. */
    double inflation() {
        if (!mMeasured) {
            return 1;
        }
        return mMeanMicros / Math.max(1, Math.min(mLowestMicros, mLowestBeforeMicros));
    }
}
