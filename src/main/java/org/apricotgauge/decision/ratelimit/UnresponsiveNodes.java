package org.apricotgauge.decision.ratelimit;

import java.util.HashMap;
import java.util.Map;
import org.apricotgauge.model.Address;

/** The nodes that did not respond when they were last asked. Not thread-safe. */
final class UnresponsiveNodes {
    /** How long a node that did not respond is skipped, in milliseconds. */
    static final long SKIPPED_MILLIS = 1_000;

    /** Minimum interval between two probes of an unresponsive node, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 50;

    private final Map<Address, Silence> mSilences = new HashMap<>();

    /**
     * A node did not respond.
     *
     * @param sinceMillis since when it has not been heard
     * @param untilMillis how long it is skipped
     * @param probedMillis when it was last probed
     */
    private record Silence(long sinceMillis, long untilMillis, long probedMillis) {}

    void markUnresponsive(Address node, long nowMillis) {
        Silence before = mSilences.get(node);
        mSilences.put(
                node,
                new Silence(
                        before == null || isOutdated(before, nowMillis)
                                ? nowMillis
                                : before.sinceMillis(),
                        nowMillis + SKIPPED_MILLIS,
                        before == null ? Long.MIN_VALUE / 2 : before.probedMillis()));
    }

    void heard(Address node) {
        mSilences.remove(node);
    }

    boolean contains(Address node, long nowMillis) {
        Silence silence = mSilences.get(node);
        return silence != null && nowMillis < silence.untilMillis();
    }

    /**
     * Returns since when a node has not been heard; now if it was not found unresponsive lately.
     */
    long sinceMillis(Address node, long nowMillis) {
        Silence silence = mSilences.get(node);
        return silence == null || isOutdated(silence, nowMillis)
                ? nowMillis
                : silence.sinceMillis();
    }

    // A node that was not asked again soon after it was skipped may have granted tokens since.
    private static boolean isOutdated(Silence silence, long nowMillis) {
        return nowMillis - silence.untilMillis() > SKIPPED_MILLIS;
    }

    /** Returns whether a node is to be probed now, and counts it as probed. */
    boolean tryProbe(Address node, long nowMillis) {
        Silence silence = mSilences.get(node);
        if (silence == null) {
            return true;
        }
        if (nowMillis < silence.probedMillis() + PROBE_INTERVAL_MILLIS) {
            return false;
        }
        mSilences.put(node, new Silence(silence.sinceMillis(), silence.untilMillis(), nowMillis));
        return true;
    }

    /** Forgets the nodes that are no longer skipped. */
    void removeExpired(long nowMillis) {
        mSilences.values().removeIf(silence -> silence.untilMillis() <= nowMillis);
    }
}
