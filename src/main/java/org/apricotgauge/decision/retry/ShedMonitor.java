package org.apricotgauge.decision.retry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apricotgauge.model.Checks;

/**
 * Detects from the answers to one entry that the targets of a service shed so many requests that
 * the retry budget can't carry them.
 *
 * <pre>{@code
 * ShedMonitor monitor = new ShedMonitor(0.1); // 0.1 retries for each request
 * monitor.record("t-1", true, now);
 * if (monitor.isShedding(now)) { ... }
 * }</pre>
 *
 * <p>Only outcomes of requests that had a slot are recorded: a target that sheds those is not full,
 * and another one sheds with the same probability. If a share s is shed, every request needs s / (1
 * - s) retries. Thread-safe.
 */
public final class ShedMonitor {
    private static final int OUTCOMES = 8;
    private static final int MIN_OUTCOMES = 4;

    /** One shed request in a few may be chance. */
    private static final int MIN_SHED = 2;

    private static final long LIFETIME_MILLIS = 5_000;
    private static final int MAX_TARGETS = 1_024;

    private final double mShareToStart;
    private final boolean[] mShed = new boolean[OUTCOMES];
    private final long[] mAtMillis = new long[OUTCOMES];
    private final Map<String, Long> mShedAtMillis = new HashMap<>();
    private int mCount;
    private boolean mShedding;

    /**
     * Creates a monitor of a service that seems not to shed.
     *
     * @param retriesPerRequest retries that the service's budget allows for each request
     */
    public ShedMonitor(double retriesPerRequest) {
        Checks.inRange("retriesPerRequest", retriesPerRequest, 0.0, 1.0);
        mShareToStart = retriesPerRequest / (1 + retriesPerRequest);
    }

    /**
     * Records the outcome of a request that had a slot.
     *
     * @param shed whether the target shed it
     */
    public synchronized void record(String targetId, boolean shed, long nowMillis) {
        int index = mCount % OUTCOMES;
        mShed[index] = shed;
        mAtMillis[index] = nowMillis;
        mCount++;
        if (!shed) {
            mShedAtMillis.remove(targetId);
        } else if (mShedAtMillis.size() < MAX_TARGETS || mShedAtMillis.containsKey(targetId)) {
            mShedAtMillis.put(targetId, nowMillis);
        }
    }

    /** Returns whether retries are scarce; false if the latest outcomes are too old to tell. */
    public synchronized boolean isShedding(long nowMillis) {
        int known = 0;
        int shed = 0;
        for (int i = 0; i < Math.min(mCount, OUTCOMES); i++) {
            if (nowMillis - mAtMillis[i] < LIFETIME_MILLIS) {
                known++;
                shed += mShed[i] ? 1 : 0;
            }
        }
        // Ends only when no known answer is "shed": the share of a few outcomes varies by chance.
        boolean starts = known >= MIN_OUTCOMES && shed >= MIN_SHED && shed > mShareToStart * known;
        mShedding = starts || (mShedding && shed > 0);
        if (!mShedding) {
            mShedAtMillis.clear();
        }
        return mShedding;
    }

    /**
     * Returns the time since the last recorded outcome; {@link Long#MAX_VALUE} if none is known.
     */
    public synchronized long ageMillis(long nowMillis) {
        return mCount == 0
                ? Long.MAX_VALUE
                : nowMillis - mAtMillis[Math.floorMod(mCount - 1, OUTCOMES)];
    }

    /**
     * Returns the targets whose last outcome is a recent "shed", while the service sheds; another
     * target, which has just answered, is the better choice for a retry.
     */
    public synchronized Set<String> lastShedBy(long nowMillis) {
        if (!isShedding(nowMillis)) {
            return new HashSet<>();
        }
        mShedAtMillis.values().removeIf(at -> nowMillis - at >= LIFETIME_MILLIS);
        return new HashSet<>(mShedAtMillis.keySet());
    }
}
