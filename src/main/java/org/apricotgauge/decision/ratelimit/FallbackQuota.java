package org.apricotgauge.decision.ratelimit;

import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.RateLimit;

/**
 * Grants requests locally while neither the owner nor the backup owner can grant tokens.
 *
 * <p>The operator tolerates some requests beyond a limit. Half of those tolerated in a window are
 * assigned to the first nodes in the member's order, one each, so that their sum is bounded however
 * many nodes are isolated. Not thread-safe.
 */
public final class FallbackQuota {
    private static final double TOLERANCE_FRACTION = 0.5;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Tolerance mTolerance;
    private final Map<String, Long> mLastGrantMillis = new HashMap<>();

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
    }

    /** Creates the quota of one node. */
    public FallbackQuota(Tolerance tolerance) {
        mTolerance = Checks.notNull("tolerance", tolerance);
    }

    /**
     * Grants a request if one is assigned to this node and the node has granted none to the member
     * within the last window.
     *
     * @param rank how many nodes precede this one in the member's order
     */
    public boolean tryAcquire(String member, RateLimit limit, int rank, long nowMillis) {
        if (rank >= Math.floor(TOLERANCE_FRACTION * mTolerance.toleratedRequests(limit))) {
            return false;
        }
        long windowMillis = (long) (mTolerance.windowSeconds() * MILLIS_PER_SECOND);
        Long lastGrantMillis = mLastGrantMillis.get(member);
        if (lastGrantMillis != null && nowMillis - lastGrantMillis <= windowMillis) {
            return false;
        }
        mLastGrantMillis.put(member, nowMillis);
        return true;
    }
}
