package org.apricotgauge.decision.detection;

import java.util.ArrayList;
import java.util.List;

/** What this node has observed of one target at one end, since its start. */
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
     * Counts a timeout by the end that saw it.
     *
     * <p>Beside the target it is the target's. At the entry the path may have swallowed the request
     * or the answer; told to others as the target's, a one-way partition would eject for all.
     */
    private void addTimeout(ObservationPoint end) {
        if (end == ObservationPoint.GUARD) {
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
