package org.apricotgauge.decision.routing;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apricotgauge.decision.admission.StartRateLimiter;
import org.apricotgauge.decision.health.DegradationEstimate;
import org.apricotgauge.model.StartLimit;

/**
 * The load of one target as one entry sees it; survives changes of the routing table.
 *
 * <pre>{@code
 * load.begin();
 * try { … } finally { load.end(); }
 * }</pre>
 *
 * <p>Counts the entry's own requests in flight and remembers what the guard last reported. With
 * thousands of entries each sees a sliver of the traffic; the guard sees all of it. Thread-safe.
 */
public final class TargetLoad {
    /** A report says nothing any more after this long. */
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

    /** Returns the entry's own requests in flight. */
    public int inFlight() {
        return mInFlight.get();
    }

    /**
     * Takes the load that the guard told with an answer.
     *
     * @param loadPermille requests running and waiting, in permille of the slots
     * @param nowNanos time of the report
     */
    public void reportLoad(int loadPermille, long nowNanos) {
        mReport = new Report(loadPermille, nowNanos);
    }

    /** Takes how many requests a second the target takes; null if it names no limit. */
    public void setStartLimit(StartLimit limit) {
        mStartLimit = limit;
    }

    /** Returns how many requests a second the target takes; nothing if it names no limit. */
    public Optional<StartLimit> startLimit() {
        return Optional.ofNullable(mStartLimit);
    }

    /**
     * Counts a request that goes to the target past any guard, if the target's limit lets it; with
     * nobody to count for all nodes, each keeps to its part.
     *
     * @param nodes how many nodes there are
     * @param nowMillis present time
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

    /** Takes how likely the target is to be sick, as its guard told. */
    public void reportDegradation(DegradationEstimate health) {
        mDegradationEstimate = health;
    }

    /**
     * Takes in that the target, or the way to it, has failed this entry.
     *
     * @param sick probability of another failure right after it, from 0 to 1
     * @param nowMillis present time
     */
    public void recordFailure(double sick, long nowMillis) {
        mDegradationEstimate = mDegradationEstimate.withMinimum(sick, nowMillis);
    }

    /** Returns the probability that the target is sick now. */
    public double degradationProbability(long nowNanos) {
        return mDegradationEstimate.probabilityAt(TimeUnit.NANOSECONDS.toMillis(nowNanos));
    }

    /** Returns how much likelier than usual the target is to be sick now; less than 0 if less. */
    public double degradationAboveBaseline(long nowNanos) {
        DegradationEstimate health = mDegradationEstimate;
        return health.probabilityAt(TimeUnit.NANOSECONDS.toMillis(nowNanos)) - health.baseline();
    }

    /**
     * Returns the load as a share of the slots; 1.0 is all slots busy.
     *
     * @param slots slots of the target
     * @param nowNanos present time
     */
    public double loadPerSlot(int slots, long nowNanos) {
        Report report = mReport;
        long ageNanos = Math.max(0, nowNanos - report.reportedAtNanos());
        double freshness = Math.max(0.0, 1.0 - (double) ageNanos / REPORT_LIFETIME_NANOS);
        double own = (double) mInFlight.get() / slots;
        return Math.max(own, freshness * report.loadPermille() / PERMILLE);
    }
}
