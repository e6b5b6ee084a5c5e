package org.apricotgauge.decision.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Service times of a target: over all, by kind of work, and how far the last batch lies off the
 * usual.
 *
 * <p>Kept by priority, lookups of 60 ms shared an allowance with patient reports of 600 ms, and
 * were refused as too late whenever they would have had to wait: on the heaviest day measured, 321
 * of some 2,000 lookups that targets make while they serve a booking, each of which failed its
 * booking.
 */
final class ServiceTimes {
    private static final double BASELINE_GAIN = 0.05;

    // Service times scatter widely: a moving mean of twenty wanders to twice its own lowest value
    // without any cause. The mean of fifty, against the mean of many such means, hardly does.
    private static final int BATCH_SIZE = 50;

    /** Kinds told apart; a service has a handful of routes, and what is beyond shares one. */
    private static final int MAX_KINDS = 256;

    private static final String OTHER_KINDS = "";

    private final long mInitialMicros;
    private final ServiceTimeEstimator mAll;
    private final Map<String, ServiceTimeEstimator> mByKind = new HashMap<>();
    private double mBatchSumMicros;
    private int mBatchCount;
    private double mBatchMeanMicros;
    private double mBaselineMicros;

    ServiceTimes(long initialMicros) {
        mInitialMicros = initialMicros;
        mAll = new ServiceTimeEstimator(initialMicros);
    }

    /** Takes in a service time; returns whether it completes a batch. */
    boolean add(String kind, long micros) {
        mAll.add(micros);
        estimatorOf(kind).add(micros);
        mBatchSumMicros += micros;
        mBatchCount++;
        if (mBatchCount < BATCH_SIZE) {
            return false;
        }
        mBatchMeanMicros = mBatchSumMicros / BATCH_SIZE;
        mBaselineMicros =
                mBaselineMicros == 0
                        ? mBatchMeanMicros
                        : mBaselineMicros + BASELINE_GAIN * (mBatchMeanMicros - mBaselineMicros);
        mBatchSumMicros = 0;
        mBatchCount = 0;
        return true;
    }

    double meanMicros() {
        return mAll.meanMicros();
    }

    /** Returns a time within which most services of the kind end; the initial one if none did. */
    double upperEstimateMicros(String kind) {
        return estimatorOf(kind).upperEstimateMicros();
    }

    private ServiceTimeEstimator estimatorOf(String kind) {
        boolean known = mByKind.containsKey(kind) || mByKind.size() < MAX_KINDS;
        return mByKind.computeIfAbsent(
                known ? kind : OTHER_KINDS, name -> new ServiceTimeEstimator(mInitialMicros));
    }

    /** Returns the mean of the last whole batch as a multiple of the usual. */
    double inflation() {
        return mBaselineMicros == 0 ? 1 : mBatchMeanMicros / mBaselineMicros;
    }
}
