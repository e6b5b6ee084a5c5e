package org.apricotgauge.decision.ratelimit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.RateLimit;

/**
 * Grants requests locally while neither the owner nor the backup owner can grant tokens.
 *
 * <p>The operator tolerates some requests beyond a limit. Those that {@link MemberTokenBuckets} do
 * not use are dealt out to all nodes, beginning with the first in the member's order, so that their
 * sum is bounded however many nodes are isolated. Not thread-safe.
 */
public final class FallbackQuota {
    private static final double EXTRA_BURST_FRACTION = 0.25;
    private static final double INITIAL_FILL_FRACTION = 0.25;
    private static final double BACKUP_FILL_FRACTION = 0.125;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Tolerance mTolerance;
    private final Map<String, Deque<Long>> mGrantsMillis = new HashMap<>();

    /**
     * The requests beyond a limit that the operator tolerates.
     *
     * @param windowSeconds length of the windows in which requests are counted
     * @param share fraction of the requests that the limit allows in a window, at least 0
     * @param slack additional requests per window, at least 0
     */
    public record Tolerance(double windowSeconds, double share, double slack) {
        /** Tolerates nothing. */
        public static final Tolerance NONE = new Tolerance(1, 0, 0);

        /** Validates the components. */
        public Tolerance {
            Checks.inRange("tolerance.windowSeconds", windowSeconds, 0.001, 1e6);
            Checks.inRange("tolerance.share", share, 0.0, 1e6);
            Checks.inRange("tolerance.slack", slack, 0.0, 1e9);
        }

        double toleratedRequests(RateLimit limit) {
            double allowed = limit.requestsPerSecond() * windowSeconds + limit.burst();
            return share * allowed + slack;
        }

        /** Returns the tokens that a bucket may save beyond the burst. */
        double extraBurst() {
            return EXTRA_BURST_FRACTION * slack;
        }

        /** Returns the tokens of a bucket that replaces one whose tokens may have been spent. */
        double initialFill(RateLimit limit) {
            return INITIAL_FILL_FRACTION * toleratedRequests(limit);
        }

        /** Returns the tokens of a bucket beside one whose tokens may still be granted. */
        double backupFill(RateLimit limit) {
            return BACKUP_FILL_FRACTION * toleratedRequests(limit);
        }

        private int assignedToNode(RateLimit limit, int rank, int nodes) {
            if (rank >= nodes) {
                return 0;
            }
            double inBuckets = extraBurst() + initialFill(limit) + backupFill(limit);
            int total = (int) (toleratedRequests(limit) - inBuckets);
            return total / nodes + (rank < total % nodes ? 1 : 0);
        }
    }

    /** Creates the quota of one node. */
    public FallbackQuota(Tolerance tolerance) {
        mTolerance = Checks.notNull("tolerance", tolerance);
    }

    /**
     * Grants a request if this node has granted the member fewer within the last window than are
     * assigned to it.
     *
     * @param rank how many nodes precede this one in the member's order
     * @param nodes number of nodes
     */
    public boolean tryAcquire(String member, RateLimit limit, int rank, int nodes, long nowMillis) {
        int assigned = mTolerance.assignedToNode(limit, rank, nodes);
        long windowMillis = (long) (mTolerance.windowSeconds() * MILLIS_PER_SECOND);
        Deque<Long> grants = mGrantsMillis.computeIfAbsent(member, id -> new ArrayDeque<>());
        while (!grants.isEmpty() && nowMillis - grants.peek() > windowMillis) {
            grants.poll();
        }
        if (grants.size() >= assigned) {
            return false;
        }
        grants.add(nowMillis);
        return true;
    }
}
