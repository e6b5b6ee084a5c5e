package org.apricotgauge.decision.detection;

import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * What one node has observed of a service's targets, sent to the other nodes.
 *
 * <p>All counts are cumulative from the start of the reporting process. So a lost digest loses
 * nothing, and a duplicate or late one is ignored by its sequence. The log-likelihood ratio of
 * every test is linear in these counts: the receiver computes each sum against its own baseline,
 * and the digest need not carry one per hypothesis.
 *
 * @param formatVersion {@link #FORMAT_VERSION} of the writer
 * @param incarnation start of the reporting process; a higher one restarts the counts at 0
 * @param sequence number of the digest within the incarnation
 * @param targets counts of each target that the node has observed
 */
public record EvidenceDigest(
        int formatVersion, long incarnation, long sequence, List<TargetEvidence> targets) {
    /** The version that this release writes; digests of other versions are ignored. */
    public static final int FORMAT_VERSION = 1;

    /** Copies the list. */
    public EvidenceDigest {
        targets = List.copyOf(Checks.notNull("digest.targets", targets));
    }

    /**
     * The counts of one target.
     *
     * @param targetId the target
     * @param guard counts as the guard of the target, or null if the node has none
     * @param entry counts as an entry, or null if the node has none
     */
    public record TargetEvidence(String targetId, EvidenceCounts guard, EvidenceCounts entry) {
        public TargetEvidence {
            Checks.notNull("evidence.targetId", targetId);
        }
    }

    /**
     * The counts of one target at one observation point, since the start of the process.
     *
     * @param failures requests that failed because of the target
     * @param pathFaults requests that failed on the path, or timed out at the entry
     * @param sheds requests that the target shed
     * @param firstBin index of the first bin in {@code latencyCounts}
     * @param latencyCounts successes in each bin of service time; a bin is a factor of the square
     *     root of two wide and bin 0 ends at 250 microseconds
     */
    public record EvidenceCounts(
            long failures, long pathFaults, long sheds, int firstBin, List<Long> latencyCounts) {
        /** Copies the list. */
        public EvidenceCounts {
            Checks.inRange("evidence.firstBin", firstBin, 0, LatencyBins.COUNT);
            latencyCounts = List.copyOf(latencyCounts);
            Checks.inRange(
                    "evidence.latencyCounts.size",
                    firstBin + latencyCounts.size(),
                    0,
                    LatencyBins.COUNT);
        }
    }
}
