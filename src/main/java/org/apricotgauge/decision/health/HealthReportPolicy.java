package org.apricotgauge.decision.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which entries a guard notifies of its target's health, and when.
 *
 * <pre>{@code
 * policy.recordUse("10.1.0.9", true, nowMillis);               // an entry sent a request
 * List<String> hosts = policy.hostsToNotify(gate.estimate(nowMillis), load, nowMillis);
 * }</pre>
 *
 * <p>An entry uses a target only once in some seconds, and would detect a degraded target only by
 * losing a request to it. The guard therefore notifies the entries that used the target recently.
 * Entries in its own failure domain are notified when their last report has become inaccurate, at
 * most every {@link #MIN_INTERVAL_MILLIS}: traffic within the domain is free, and a recent success
 * is what makes a target safe for non-idempotent requests. Other entries are notified only when the
 * target becomes suspect or ceases to be. The number of notified entries is bounded, independent of
 * the size of the site. Not thread-safe.
 */
public final class HealthReportPolicy {
    /**
     * Least interval between reports unless the target becomes suspect or healthy, in milliseconds.
     */
    static final long MIN_INTERVAL_MILLIS = 200;

    /** Tolerated difference between the entries' extrapolated probability and the current one. */
    static final double PROBABILITY_TOLERANCE = 0.05;

    /** Tolerated difference between the reported and the current load, as a share of the slots. */
    static final double LOAD_TOLERANCE = 0.5;

    /** Time after which an entry that sent no request is no longer notified, in milliseconds. */
    static final long ENTRY_EXPIRY_MILLIS = 15_000;

    /** Most entries that are notified; an entry uses at most 20 targets of a service. */
    static final int MAX_ENTRIES = 64;

    private final Map<String, EntryUse> mEntries = new HashMap<>();
    private long mLastReportMillis = Long.MIN_VALUE / 2;
    private boolean mSuspect;
    private DegradationEstimate mLastReported = DegradationEstimate.unknown();
    private double mLastReportedLoad = -1;

    private record EntryUse(boolean sameFailureDomain, long atMillis) {}

    /**
     * Records that an entry used the target.
     *
     * @param host the entry's host
     * @param sameFailureDomain whether the entry is in the guard's failure domain
     */
    public void recordUse(String host, boolean sameFailureDomain, long nowMillis) {
        if (mEntries.size() < MAX_ENTRIES || mEntries.containsKey(host)) {
            mEntries.put(host, new EntryUse(sameFailureDomain, nowMillis));
        }
    }

    /**
     * Returns the hosts of the entries to notify of the target's current health.
     *
     * @param estimate probability that the target is degraded
     * @param load requests running and waiting, as a share of the target's slots
     */
    public List<String> hostsToNotify(DegradationEstimate estimate, double load, long nowMillis) {
        boolean suspect = estimate.probabilityAt(nowMillis) >= HealthGate.NON_IDEMPOTENT_LIMIT;
        boolean changed = suspect != mSuspect;
        mSuspect = suspect;
        if (!changed
                && (nowMillis - mLastReportMillis < MIN_INTERVAL_MILLIS
                        || isUpToDate(estimate, load, nowMillis))) {
            return List.of();
        }
        mLastReportMillis = nowMillis;
        mLastReported = estimate;
        mLastReportedLoad = load;
        expireEntries(nowMillis);
        List<String> hosts = new ArrayList<>();
        mEntries.forEach(
                (host, use) -> {
                    if (changed || use.sameFailureDomain()) {
                        hosts.add(host);
                    }
                });
        return hosts;
    }

    /** Returns the hosts of the entries that used the target recently. */
    public List<String> recentHosts(long nowMillis) {
        expireEntries(nowMillis);
        return List.copyOf(mEntries.keySet());
    }

    private void expireEntries(long nowMillis) {
        mEntries.values().removeIf(use -> nowMillis - use.atMillis() > ENTRY_EXPIRY_MILLIS);
    }

    private boolean isUpToDate(DegradationEstimate estimate, double load, long nowMillis) {
        double error =
                Math.abs(
                        mLastReported.probabilityAt(nowMillis) - estimate.probabilityAt(nowMillis));
        return error < PROBABILITY_TOLERANCE && Math.abs(mLastReportedLoad - load) < LOAD_TOLERANCE;
    }
}
