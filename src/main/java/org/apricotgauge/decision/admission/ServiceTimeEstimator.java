package org.apricotgauge.decision.admission;

/** Moving mean and mean deviation of service times, as TCP estimates round-trip times. */
final class ServiceTimeEstimator {
    // Gains and multiple in the manner of RFC 6298: a single outlier moves the estimate little, and
    // about one run in 20 takes longer than the upper estimate.
    private static final double MEAN_GAIN = 0.05;
    private static final double DEVIATION_GAIN = 0.1;
    private static final double DEVIATIONS = 2;

    private double mMeanMicros;
    private double mDeviationMicros;
    private boolean mHasSample;

    ServiceTimeEstimator(long initialMicros) {
        mMeanMicros = initialMicros;
    }

    void add(long micros) {
        if (!mHasSample) {
            // The first sample replaces the initial value, which may be off by orders of magnitude.
            mMeanMicros = micros;
            mDeviationMicros = micros / 2.0;
            mHasSample = true;
            return;
        }
        double error = micros - mMeanMicros;
        mMeanMicros += MEAN_GAIN * error;
        mDeviationMicros += DEVIATION_GAIN * (Math.abs(error) - mDeviationMicros);
    }

    double meanMicros() {
        return mMeanMicros;
    }

    /** Returns a time within which most runs end. */
    double upperEstimateMicros() {
        return mMeanMicros + DEVIATIONS * mDeviationMicros;
    }
}
