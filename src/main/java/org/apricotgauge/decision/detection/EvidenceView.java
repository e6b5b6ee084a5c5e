package org.apricotgauge.decision.detection;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotgauge.model.DetectionOdds;

/**
 * The targets of a service as observed from one point, tested against each other.
 *
 * <p>Targets are compared within one view only. So a degraded or distant entry, to which every
 * target looks slow, yields no evidence against any one of them.
 */
final class EvidenceView {
    private static final long REFRESH_MILLIS = 60_000;
    private static final long MIN_REFRESH_SAMPLES = 32;
    private static final double REFRESH_GROWTH = 0.1;
    private static final double MIN_BASELINE_SAMPLES = 60;
    private static final double P999_TAIL_DIVISOR = 1_000;
    private static final double OTHER_SAMPLES_FOR_FAILURE = 0.5;
    private static final double OTHER_SAMPLES_FOR_SLOWNESS = 2.5;
    private static final int SUFFICIENT_OWN_SAMPLES = 16;
    private static final double REBASE_SHARE = 0.5;
    private static final double MAX_THRESHOLD_RATIO = 1.5;
    private static final double RATE_TIME_CONSTANT_MILLIS = 60_000;
    private static final double INITIAL_RATE_PER_SECOND = 10;

    /** A target is tested in two views at a time, that of the guards and that of this entry. */
    private static final int TESTS = 2 * ScoreTable.TESTS;

    private DetectionOdds mOdds;
    private final Map<String, TargetStream> mStreams = new LinkedHashMap<>();
    private double mThresholdNats;
    private double mRatePerSecond = INITIAL_RATE_PER_SECOND;
    private long mRefreshedMillis;
    private long mSamplesAtRefresh;
    private long mNextRefreshSamples;
    private long mSamples;

    EvidenceView(DetectionOdds odds) {
        mOdds = odds;
        mThresholdNats = threshold();
    }

    void setOdds(DetectionOdds odds) {
        mOdds = odds;
        mThresholdNats = threshold();
    }

    double thresholdNats() {
        return mThresholdNats;
    }

    /** Adds one sample; returns whether its target is in service and has crossed the threshold. */
    boolean add(String targetId, int category, long nowMillis) {
        TargetStream stream = streamFor(targetId, nowMillis);
        stream.add(category, mSamples, nowMillis);
        mSamples++;
        return stream.isTested() && stream.maxNats() >= mThresholdNats;
    }

    /** Adds samples whose order is not known. */
    void addBatch(String targetId, int[] counts, long nowMillis) {
        TargetStream stream = streamFor(targetId, nowMillis);
        long before = stream.samples();
        stream.addBatch(counts, mSamples, nowMillis);
        mSamples += stream.samples() - before;
    }

    private TargetStream streamFor(String targetId, long nowMillis) {
        TargetStream stream = mStreams.get(targetId);
        boolean isNew = stream == null;
        if (isNew) {
            stream = new TargetStream(targetId);
            mStreams.put(targetId, stream);
        }
        if (isNew
                || mSamples >= mNextRefreshSamples
                || nowMillis - mRefreshedMillis >= REFRESH_MILLIS) {
            refresh(nowMillis);
        }
        return stream;
    }

    /** Returns the stream of a target, or null if the view has none. */
    TargetStream stream(String targetId) {
        return mStreams.get(targetId);
    }

    /** Removes the targets that are no longer configured. */
    void retain(Set<String> targetIds) {
        mStreams.keySet().retainAll(targetIds);
    }

    /**
     * Returns the 99.9th percentile of the service time in microseconds, as the upper bound of its
     * bin, or {@link Long#MAX_VALUE} while there are too few samples.
     */
    long p999Micros() {
        double[] counts = new double[Category.COUNT];
        for (TargetStream stream : mStreams.values()) {
            stream.addHistoryTo(counts);
        }
        double total = 0;
        for (int bin = 0; bin < LatencyBins.COUNT; bin++) {
            total += counts[bin];
        }
        double above = 0;
        int bin = LatencyBins.COUNT;
        while (bin > 0 && above + counts[bin - 1] <= total / P999_TAIL_DIVISOR) {
            bin--;
            above += counts[bin];
        }
        return total < P999_TAIL_DIVISOR ? Long.MAX_VALUE : LatencyBins.endMicros(bin - 1);
    }

    /** Sets what a target's samples are used for. */
    void setMode(String targetId, TargetStream.Mode mode) {
        TargetStream stream = mStreams.get(targetId);
        if (stream != null && stream.setMode(mode)) {
            mNextRefreshSamples = mSamples;
        }
    }

    /**
     * Returns the strongest evidence against a target that remains after a comparison with the
     * recent samples of its reference targets.
     */
    Finding finding(String targetId) {
        TargetStream stream = mStreams.get(targetId);
        if (stream == null) {
            return Finding.none(mThresholdNats);
        }
        stream.capAt(mThresholdNats * MAX_THRESHOLD_RATIO);
        int[][] recentCounts = null;
        Finding strongest = Finding.none(mThresholdNats);
        for (int test = 0; test < ScoreTable.TESTS; test++) {
            double nats = stream.nats(test);
            if (nats >= mThresholdNats) {
                recentCounts = recentCounts == null ? recentCounts(stream) : recentCounts;
                double share = PoolBaseline.remainingShare(stream, test, recentCounts);
                if (share < REBASE_SHARE && PoolBaseline.isChanged(stream, test, recentCounts)) {
                    rebase();
                    return Finding.none(mThresholdNats);
                }
                nats = isComparable(stream, test) ? nats * share : 0;
            }
            if (nats > strongest.nats()) {
                strongest = new Finding(test, nats, mThresholdNats, stream.natsPerSample(test));
            }
        }
        return strongest;
    }

    /**
     * Returns whether the other targets have enough samples since a target's statistic left 0.
     *
     * <p>At the onset of an overload, the target that answers first would be ejected after four
     * requests, before the other targets' answers show that they are as slow; slowness takes longer
     * to show than failures. Where the others get no requests, a few more samples of its own are
     * enough.
     */
    private boolean isComparable(TargetStream stream, int test) {
        int own = stream.samplesSinceRise(test);
        long others = mSamples - stream.poolSamplesAtRise(test) - own;
        boolean isFailure =
                AlternativeHypothesis.ALL.get(test).kind() == AlternativeHypothesis.Kind.FAILURE;
        double samplesPerTarget =
                isFailure ? OTHER_SAMPLES_FOR_FAILURE : OTHER_SAMPLES_FOR_SLOWNESS;
        return others >= samplesPerTarget * (mStreams.size() - 1) || own >= SUFFICIENT_OWN_SAMPLES;
    }

    /**
     * Restarts all comparisons, as the service as a whole has changed.
     *
     * <p>A baseline half from before and half from after an overload fits no target: the targets
     * would be ejected one after the other for being as slow as all.
     */
    private void rebase() {
        for (TargetStream stream : mStreams.values()) {
            if (stream.isTested()) {
                stream.rebase();
            }
        }
        mNextRefreshSamples = mSamples;
    }

    private int[][] recentCounts(TargetStream stream) {
        return PoolBaseline.recentCounts(PoolBaseline.referenceTargets(stream, mStreams.values()));
    }

    private void refresh(long nowMillis) {
        measureRate(nowMillis - mRefreshedMillis);
        mRefreshedMillis = nowMillis;
        mSamplesAtRefresh = mSamples;
        mNextRefreshSamples =
                mSamples
                        + Math.max(
                                MIN_REFRESH_SAMPLES,
                                (long) (REFRESH_GROWTH * PoolBaseline.samples(mStreams.values())));
        mThresholdNats = threshold();
        for (TargetStream stream : mStreams.values()) {
            List<TargetStream> referenceTargets =
                    PoolBaseline.referenceTargets(stream, mStreams.values());
            boolean withSlowness = PoolBaseline.samples(referenceTargets) >= MIN_BASELINE_SAMPLES;
            stream.setScores(
                    new ScoreTable(
                            PoolBaseline.longRunDistribution(referenceTargets), withSlowness));
        }
    }

    private void measureRate(long elapsedMillis) {
        if (mSamplesAtRefresh == 0 || elapsedMillis <= 0) {
            return;
        }
        double currentRate =
                (mSamples - mSamplesAtRefresh) * 1_000.0 / elapsedMillis / mStreams.size();
        double weight = 1 - Math.exp(-elapsedMillis / RATE_TIME_CONSTANT_MILLIS);
        mRatePerSecond += weight * (currentRate - mRatePerSecond);
    }

    private double threshold() {
        return DetectionThreshold.nats(mOdds, mRatePerSecond, TESTS);
    }
}
