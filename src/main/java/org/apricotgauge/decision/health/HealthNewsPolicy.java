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
 * List<String> hosts = policy.toTell(belief.sick(), nowMillis);
 * }</pre>
 *
 * <p>An entry sees a target once in some seconds, and would learn of a spell by losing a request to
 * it. So the guard tells the entries that used it lately: those of its own failure domain every
 * {@link #PAUSE_MILLIS}, since bytes there cost nothing and a fresh success is what makes a target
 * safe for requests that must not repeat; the others only when the target becomes suspect or ceases
 * to be. Entries told are bounded, whatever the size of the site. Not thread-safe.
 */
public final class HealthNewsPolicy {
    /** Least pause between two tellings without a change of standing, in milliseconds. */
    static final long PAUSE_MILLIS = 200;

    /** An entry that sent nothing for so long is no longer told, in milliseconds. */
    static final long RECENT_MILLIS = 15_000;

    /** Most entries that are told; an entry works with 20 targets of a service at the most. */
    static final int MAX_ENTRIES = 64;

    private final Map<String, Seen> mEntries = new HashMap<>();
    private long mToldMillis = Long.MIN_VALUE / 2;
    private boolean mSuspect;

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

    /** Returns the hosts of the entries to tell now that the target's belief is this. */
    public List<String> toTell(double sick, long nowMillis) {
        boolean suspect = sick >= HealthGate.UNSTEADY;
        boolean changed = suspect != mSuspect;
        mSuspect = suspect;
        if (!changed && nowMillis - mToldMillis < PAUSE_MILLIS) {
            return List.of();
        }
        mToldMillis = nowMillis;
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
}
