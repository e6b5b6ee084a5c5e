package org.apricotgauge.decision.detection;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts of what this node has observed of one target at one observation point, since its start.
 */
final class LocalCounts {
    private final long[] mLatencyCounts = new long[LatencyBins.COUNT];
    private long mFailures;
    private long mPathFaults;
    private long mSheds;

    void add(Observation observation) {
        switch (observation.outcome()) {
            case SUCCESS:
            case UNRESPONSIVE:
                mLatencyCounts[LatencyBins.bin(observation.serviceTimeMicros())]++;
                break;
            case TARGET_ERROR:
                mFailures++;
                break;
            case TIMEOUT:
                addTimeout(observation.point());
                break;
            case PATH_FAULT:
                mPathFaults++;
                break;
            case SHED:
                mSheds++;
                break;
            default:
                break;
        }
    }

    /**
     * Counts a timeout by the point at which it was observed.
     *
     * <p>At the guard it counts as a failure of the target. At the entry the path may have lost the
     * request or the answer: if it were reported to the other nodes as a failure of the target, a
     * one-way partition would eject the target at every node.
     */
    private void addTimeout(ObservationPoint point) {
        if (point == ObservationPoint.GUARD) {
            mFailures++;
        } else {
            mPathFaults++;
        }
    }

    EvidenceDigest.EvidenceCounts evidence() {
        int first = 0;
        int end = LatencyBins.COUNT;
        while (first < end && mLatencyCounts[first] == 0) {
            first++;
        }
        while (end > first && mLatencyCounts[end - 1] == 0) {
            end--;
        }
        List<Long> counts = new ArrayList<>();
        for (int bin = first; bin < end; bin++) {
            counts.add(mLatencyCounts[bin]);
        }
        return new EvidenceDigest.EvidenceCounts(mFailures, mPathFaults, mSheds, first, counts);
    }
}
