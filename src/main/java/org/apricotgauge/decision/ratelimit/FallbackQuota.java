package org.apricotgauge.decision.ratelimit;

import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.RateLimit;

/**
 * What a node may grant alone while no lender answers.
 *
 * <p>The operator tolerates some requests beyond a limit. Half of those of a window are dealt out
 * to the nodes that come first in the member's order, one each, so that they hold in sum however
 * many nodes are out of touch. Not thread-safe.
 */
public final class FallbackQuota {
    private static final double TOLERANCE_FRACTION = 0.5;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Tolerance mTolerance;
    private final Map<String, Long> mLastGrantMillis = new HashMap<>();

    /**
     * What the operator tolerates beyond a limit.
     *
     * @param windowSeconds length of the windows in which requests are counted
     * @param share part of what the limit allows in a window, from 0
     * @param slack requests in a window besides, from 0
     */
    public record Tolerance(double windowSeconds, double share, double slack) {
        /** Tolerates nothing. */
        public static final Tolerance NONE = new Tolerance(1, 0, 0);

        /** Checks the parts. */
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

    /** Creates the reserve of one node. */
    public FallbackQuota(Tolerance tolerance) {
        mTolerance = Checks.notNull("tolerance", tolerance);
    }

    /**
     * Takes the node's one request of a window, if it has one.
     *
     * @param rank how many nodes stand before this one in the member's order
     */
    public boolean tryAcquire(String member, RateLimit limit, int rank, long nowMillis) {
        if (rank >= Math.floor(TOLERANCE_FRACTION * mTolerance.toleratedRequests(limit))) {
            return false;
        }
        long windowMillis = (long) (mTolerance.windowSeconds() * MILLIS_PER_SECOND);
        Long usedMillis = mLastGrantMillis.get(member);
        if (usedMillis != null && nowMillis - usedMillis <= windowMillis) {
            return false;
        }
        mLastGrantMillis.put(member, nowMillis);
        return true;
    }
}
