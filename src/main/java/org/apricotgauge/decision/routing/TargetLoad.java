package org.apricotgauge.decision.routing;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apricotgauge.decision.admission.StartRateLimiter;
import org.apricotgauge.decision.health.DegradationEstimate;
import org.apricotgauge.model.StartLimit;

/**
 * The load of one target as observed by one entry; kept across changes of the routing table.
 *
 * <pre>{@code
 * load.begin();
 * try { … } finally { load.end(); }
 * }</pre>
 *
 * <p>Counts the entry's own requests in flight and stores the last report of the guard. With
 * thousands of entries, each one observes a small part of the traffic, while the guard observes all
 * of it. Thread-safe.
 */
public final class TargetLoad {
    /** Time in which the influence of a load report falls to 0. */
    private static final long REPORT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double PERMILLE = 1_000.0;

    private final AtomicInteger mInFlight = new AtomicInteger();
    private volatile Report mReport = new Report(0, Long.MIN_VALUE / 2);

    private final StartRateLimiter mDirectStartLimiter = new StartRateLimiter();
    private volatile StartLimit mStartLimit;

    private volatile DegradationEstimate mDegradationEstimate = DegradationEstimate.unknown();

    private record Report(int loadPermille, long reportedAtNanos) {}

    /** Counts a request that starts. */
    public void begin() {
        mInFlight.incrementAndGet();
    }

    /** Counts a request that ended; must follow exactly one {@link #begin}. */
    public void end() {
        mInFlight.decrementAndGet();
    }

    /** Returns the number of the entry's own requests in flight. */
    public int inFlight() {
        return mInFlight.get();
    }

    /**
     * Records the load that the guard reported with an answer.
     *
     * @param loadPermille requests running and queued, in permille of the slots
     * @param nowNanos time of the report, in nanoseconds
     */
    public void reportLoad(int loadPermille, long nowNanos) {
        mReport = new Report(loadPermille, nowNanos);
    }

    /** Sets the rate limit that the target requests; null if it requests none. */
    public void setStartLimit(StartLimit limit) {
        mStartLimit = limit;
    }

    /** Returns the rate limit that the target requests; empty if it requests none. */
    public Optional<StartLimit> startLimit() {
        return Optional.ofNullable(mStartLimit);
    }

    /**
     * Counts a request that is sent to the target without a guard, if the rate limit of the target
     * permits it. As no guard counts the requests of all nodes, each node uses an equal part of the
     * limit.
     *
     * @param nodes number of nodes
     * @param nowMillis current time, in milliseconds
     * @return whether the request may be sent
     */
    public boolean tryStartDirect(int nodes, long nowMillis) {
        StartLimit limit = mStartLimit;
        if (limit == null) {
            return true;
        }
        synchronized (mDirectStartLimiter) {
            mDirectStartLimiter.setLimit(limit.keptPerSecond() / Math.max(1, nodes), nowMillis);
            return mDirectStartLimiter.tryStart(nowMillis);
        }
    }

    /** Sets the degradation estimate that the guard reported. */
    public void reportDegradation(DegradationEstimate estimate) {
        mDegradationEstimate = estimate;
    }

    /**
     * Records a failure of the target or of the path to it.
     *
     * @param failureProbability probability of another failure immediately afterwards, from 0 to 1
     * @param nowMillis current time, in milliseconds
     */
    public void recordFailure(double failureProbability, long nowMillis) {
        mDegradationEstimate = mDegradationEstimate.withMinimum(failureProbability, nowMillis);
    }

    /** Returns the probability that the target is degraded now. */
    public double degradationProbability(long nowNanos) {
        return mDegradationEstimate.probabilityAt(TimeUnit.NANOSECONDS.toMillis(nowNanos));
    }

    /**
     * Returns the probability that the target is degraded now, minus its baseline; may be negative.
     */
    public double degradationAboveBaseline(long nowNanos) {
        DegradationEstimate estimate = mDegradationEstimate;
        return estimate.probabilityAt(TimeUnit.NANOSECONDS.toMillis(nowNanos))
                - estimate.baseline();
    }

    /**
     * Returns whether all slots are known to be in use.
     *
     * @param slots number of slots of the target
     * @param nowNanos current time, in nanoseconds
     */
    public boolean isFull(int slots, long nowNanos) {
        Report report = mReport;
        boolean isRecent = nowNanos - report.reportedAtNanos() < REPORT_LIFETIME_NANOS;
        return mInFlight.get() >= slots || (isRecent && report.loadPermille() >= PERMILLE);
    }

    /**
     * Returns the load per slot; 1.0 if all slots are busy.
     *
     * @param slots number of slots of the target
     * @param nowNanos current time, in nanoseconds
     */
    public double loadPerSlot(int slots, long nowNanos) {
        Report report = mReport;
        long ageNanos = Math.max(0, nowNanos - report.reportedAtNanos());
        double freshness = Math.max(0.0, 1.0 - (double) ageNanos / REPORT_LIFETIME_NANOS);
        double own = (double) mInFlight.get() / slots;
        return Math.max(own, freshness * report.loadPermille() / PERMILLE);
    }
}
