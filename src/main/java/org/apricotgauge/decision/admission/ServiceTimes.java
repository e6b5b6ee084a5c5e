package org.apricotgauge.decision.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Service times of a target: overall, by kind of work, and the last batch relative to a long-term
 * baseline.
 *
 * <p>Estimates are kept by kind of work rather than by priority: with one estimate for each
 * priority, lookups of 60 ms shared it with reports of 600 ms, and were rejected for their deadline
 * whenever they would have had to queue. On the heaviest day measured, that rejected 321 of some
 * 2,000 lookups that targets make while they serve a booking, and each one failed its booking.
 */
final class ServiceTimes {
    private static final double BASELINE_GAIN = 0.05;

    // Service times vary widely: a moving mean of 20 drifts to twice its own minimum without any
    // cause. The mean of 50, compared with the mean of many such means, hardly does.
    private static final int BATCH_SIZE = 50;

    /**
     * Kinds tracked separately; a service has a handful of routes, and any further kinds share one.
     */
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

    /** Records a service time; returns whether it completes a batch. */
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

    /** Returns a time within which most runs of the kind end; the initial estimate if none has. */
    double upperEstimateMicros(String kind) {
        return estimatorOf(kind).upperEstimateMicros();
    }

    private ServiceTimeEstimator estimatorOf(String kind) {
        boolean ownEstimate = mByKind.containsKey(kind) || mByKind.size() < MAX_KINDS;
        return mByKind.computeIfAbsent(
                ownEstimate ? kind : OTHER_KINDS, name -> new ServiceTimeEstimator(mInitialMicros));
    }

    /** Returns the mean of the last complete batch as a multiple of the baseline. */
    double inflation() {
        return mBaselineMicros == 0 ? 1 : mBatchMeanMicros / mBaselineMicros;
    }
}
