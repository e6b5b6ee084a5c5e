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
 * they were told last has become wrong, at most every {@link #PAUSE_MILLIS}, since bytes there cost
 * nothing and a fresh success is what makes a target safe for requests that must not repeat; the
 * others only when the target becomes suspect or ceases to be. Entries told are bounded, whatever
 * the size of the site. Not thread-safe.
 */
public final class HealthNewsPolicy {
    /** Least pause between two tellings without a change of standing, in milliseconds. */
    static final long PAUSE_MILLIS = 200;

    /** What entries work out of the last news may differ by so much from what is believed. */
    static final double TOLERANCE = 0.05;

    /** The load that entries know may differ by so much from the present one, in slots' share. */
    static final double LOAD_TOLERANCE = 0.5;

    /** An entry that sent nothing for so long is no longer told, in milliseconds. */
    static final long RECENT_MILLIS = 15_000;

    /** Most entries that are told; an entry works with 20 targets of a service at the most. */
    static final int MAX_ENTRIES = 64;

    private final Map<String, Seen> mEntries = new HashMap<>();
    private long mToldMillis = Long.MIN_VALUE / 2;
    private boolean mSuspect;
    private HealthOutlook mTold = HealthOutlook.unknown();
    private double mToldLoad = -1;

    private record Seen(boolean near, long atMillis) {}

    /**
     * Notes that an entry used the target.
     *
     * @param host the entry's host
     * @param near whether it stands in the guard's failure domain
     */
    public void seen(String host, boolean near, long nowMillis) {
        if (mEntries.size() < MAX_ENTRIES || mEntries.containsKey(host)) {
            mEntries.put(host, new Seen(near, nowMillis));
        }
    }

    /**
     * Returns the hosts of the entries to tell how the target is now.
     *
     * @param outlook how likely it is to be sick
     * @param load requests running and waiting, as a share of its slots
     */
    public List<String> toTell(HealthOutlook outlook, double load, long nowMillis) {
        boolean suspect = outlook.sickAt(nowMillis) >= HealthGate.UNSTEADY;
        boolean changed = suspect != mSuspect;
        mSuspect = suspect;
        if (!changed
                && (nowMillis - mToldMillis < PAUSE_MILLIS || isKnown(outlook, load, nowMillis))) {
            return List.of();
        }
        mToldMillis = nowMillis;
        mTold = outlook;
        mToldLoad = load;
        mEntries.values().removeIf(seen -> nowMillis - seen.atMillis() > RECENT_MILLIS);
        List<String> hosts = new ArrayList<>();
        mEntries.forEach(
                (host, seen) -> {
                    if (changed || seen.near()) {
                        hosts.add(host);
                    }
                });
        return hosts;
    }

    private boolean isKnown(HealthOutlook outlook, double load, long nowMillis) {
        double error = Math.abs(mTold.sickAt(nowMillis) - outlook.sickAt(nowMillis));
        return error < TOLERANCE && Math.abs(mToldLoad - load) < LOAD_TOLERANCE;
    }
}
