package org.apricotgauge.decision.admission;

import org.apricotgauge.model.Priority;

/** Service times of a target: over all, by class, and how far the last batch lies off the usual. */
final class ServiceTimes {
    private static final double USUAL_GAIN = 0.05;

    // Service times scatter widely: a moving mean of twenty wanders to twice its own lowest value
    // without any cause. The mean of fifty, against the mean of many such means, hardly does.
    private static final int BATCH = 50;

    private final ServiceEstimate mAll;
    private final ServiceEstimate[] mByClass = new ServiceEstimate[Priority.values().length];
    private double mBatchSumMicros;
    private int mBatchCount;
    private double mBatchMeanMicros;
    private double mUsualMicros;

    ServiceTimes(long initialMicros) {
        mAll = new ServiceEstimate(initialMicros);
        for (int i = 0; i < mByClass.length; i++) {
            mByClass[i] = new ServiceEstimate(initialMicros);
        }
    }

    /** Takes in a service time; returns whether it completes a batch. */
    boolean add(Priority priority, long micros) {
        mAll.add(micros);
        mByClass[priority.ordinal()].add(micros);
        mBatchSumMicros += micros;
        mBatchCount++;
        if (mBatchCount < BATCH) {
            return false;
        }
        mBatchMeanMicros = mBatchSumMicros / BATCH;
        mUsualMicros =
                mUsualMicros == 0
                        ? mBatchMeanMicros
                        : mUsualMicros + USUAL_GAIN * (mBatchMeanMicros - mUsualMicros);
        mBatchSumMicros = 0;
        mBatchCount = 0;
        return true;
    }

    double meanMicros() {
        return mAll.meanMicros();
    }

    /** Returns a time within which most services of the class end. */
    double allowanceMicros(Priority priority) {
        return mByClass[priority.ordinal()].allowanceMicros();
    }

    /** Returns the mean of the last whole batch as a multiple of the usual. */
    double inflation() {
        return mUsualMicros == 0 ? 1 : mBatchMeanMicros / mUsualMicros;
    }
}
