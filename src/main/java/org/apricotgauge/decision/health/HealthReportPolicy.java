package org.apricotgauge.decision.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which entries a guard tells about its target, and when.
 *
 * <pre>{@code
 * policy.seen("10.1.0.9", true, nowMillis);                    // an entry sent a request
 * List<String> hosts = policy.toTell(gate.outlook(nowMillis), load, nowMillis);
 * }</pre>
 *
 * <p>An entry sees a target once in some seconds, and would learn of a spell by losing a request to
 * it. So the guard tells the entries that used it lately: those of its own failure domain when what
 * they were told last has become wrong, at most every {@link #MIN_INTERVAL_MILLIS}, since bytes
 * there cost nothing and a fresh success is what makes a target safe for requests that must not
 * repeat; the others only when the target becomes suspect or ceases to be. Entries told are
 * bounded, whatever the size of the site. Not thread-safe.
 */
public final class HealthReportPolicy {
    /** Least pause between two tellings without a change of standing, in milliseconds. */
    static final long MIN_INTERVAL_MILLIS = 200;

    /** What entries work out of the last news may differ by so much from what is believed. */
    static final double PROBABILITY_TOLERANCE = 0.05;

    /** The load that entries know may differ by so much from the present one, in slots' share. */
    static final double LOAD_TOLERANCE = 0.5;

    /** An entry that sent nothing for so long is no longer told, in milliseconds. */
    static final long ENTRY_EXPIRY_MILLIS = 15_000;

    /** Most entries that are told; an entry works with 20 targets of a service at the most. */
    static final int MAX_ENTRIES = 64;

    private final Map<String, EntryUse> mEntries = new HashMap<>();
    private long mLastReportMillis = Long.MIN_VALUE / 2;
    private boolean mSuspect;
    private DegradationEstimate mLastReported = DegradationEstimate.unknown();
    private double mLastReportedLoad = -1;

    private record EntryUse(boolean sameFailureDomain, long atMillis) {}

    /**
     * Notes that an entry used the target.
     *
     * @param host the entry's host
     * @param near whether it stands in the guard's failure domain
     */
    public void recordUse(String host, boolean near, long nowMillis) {
        if (mEntries.size() < MAX_ENTRIES || mEntries.containsKey(host)) {
            mEntries.put(host, new EntryUse(near, nowMillis));
        }
    }

    /**
     * Returns the hosts of the entries to tell how the target is now.
     *
     * @param outlook how likely it is to be sick
     * @param load requests running and waiting, as a share of its slots
     */
    public List<String> hostsToNotify(DegradationEstimate outlook, double load, long nowMillis) {
        boolean suspect = outlook.probabilityAt(nowMillis) >= HealthGate.NON_IDEMPOTENT_LIMIT;
        boolean changed = suspect != mSuspect;
        mSuspect = suspect;
        if (!changed
                && (nowMillis - mLastReportMillis < MIN_INTERVAL_MILLIS
                        || isUpToDate(outlook, load, nowMillis))) {
            return List.of();
        }
        mLastReportMillis = nowMillis;
        mLastReported = outlook;
        mLastReportedLoad = load;
        mEntries.values().removeIf(seen -> nowMillis - seen.atMillis() > ENTRY_EXPIRY_MILLIS);
        List<String> hosts = new ArrayList<>();
        mEntries.forEach(
                (host, seen) -> {
                    if (changed || seen.sameFailureDomain()) {
                        hosts.add(host);
                    }
                });
        return hosts;
    }

    private boolean isUpToDate(DegradationEstimate outlook, double load, long nowMillis) {
        double error =
                Math.abs(mLastReported.probabilityAt(nowMillis) - outlook.probabilityAt(nowMillis));
        return error < PROBABILITY_TOLERANCE && Math.abs(mLastReportedLoad - load) < LOAD_TOLERANCE;
    }
}
