package org.apricotgauge.decision.detection;

import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * What one node has observed of a service's targets, for the other nodes.
 *
 * <p>All counts run from the start of the reporting process. So a lost digest loses nothing, and
 * one that comes twice or late is passed over by its sequence. The log-likelihood ratio of every
 * test is linear in these counts: the receiver works out each sum against its own baseline, and the
 * digest need not carry one per hypothesis.
 *
 * @param formatVersion {@link #FORMAT_VERSION} of the writer
 * @param incarnation start of the reporting process; a higher one starts the counts afresh
 * @param sequence number of the digest within the incarnation
 * @param targets counts of each target that the node has observed
 */
public record EvidenceDigest(
        int formatVersion, long incarnation, long sequence, List<TargetEvidence> targets) {
    /** The version that this release writes; others are passed over. */
    public static final int FORMAT_VERSION = 1;

    /** Copies the parts. */
    public EvidenceDigest {
        targets = List.copyOf(Checks.notNull("digest.targets", targets));
    }

    /**
     * The counts of one target.
     *
     * @param targetId the target
     * @param guard counts of the node beside the target, or null where it is not that node
     * @param entry counts of the node as an entry, or null where it sent nothing
     */
    public record TargetEvidence(String targetId, EvidenceCounts guard, EvidenceCounts entry) {
        /** Checks the parts. */
        public TargetEvidence {
            Checks.notNull("evidence.targetId", targetId);
        }
    }

    /**
     * The counts of one target at one end, since the start of the process.
     *
     * @param failures requests that failed by the target's doing
     * @param pathFaults requests that failed on the path, or timed out at the entry
     * @param sheds requests refused for load
     * @param firstBin number of the first bin in {@code latencyCounts}
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
