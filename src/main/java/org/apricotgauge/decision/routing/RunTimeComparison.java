package org.apricotgauge.decision.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Compares the run times at the targets beside an entry with those at all other targets.
 *
 * <pre>{@code
 * comparison.recordBeside("t-1", "route-7", 420);
 * comparison.recordElsewhere("route-7", 180);
 * double slowness = comparison.slownessOf("t-1");   // 1 until enough runs of one kind are known
 * }</pre>
 *
 * <p>Run times are compared within a kind of work only, since kinds differ more than targets do.
 * Thread-safe.
 */
public final class RunTimeComparison {
    /** Weight of one run in a mean; with it, a change is noticed within some ten runs. */
    private static final double GAIN = 0.1;

    /** Least number of runs on either side; the mean of fewer is mostly noise. */
    static final int MIN_RUNS = 10;

    private static final int MAX_KINDS = 64;
    private static final int MAX_TARGETS = 16;

    private final Map<String, Mean> mElsewhere = new HashMap<>();
    private final Map<String, Map<String, Mean>> mBeside =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Map<String, Mean>> eldest) {
                    return size() > MAX_TARGETS;
                }
            };

    private record Mean(double millis, int runs) {
        static final Mean NONE = new Mean(0, 0);

        Mean with(double latestMillis) {
            double gain = Math.max(GAIN, 1.0 / (runs + 1));
            return new Mean(
                    millis + gain * (latestMillis - millis), Math.min(runs + 1, Short.MAX_VALUE));
        }
    }

    /** Records a run at a target beside the entry. */
    public synchronized void recordBeside(String targetId, String workKind, double millis) {
        record(mBeside.computeIfAbsent(targetId, id -> new HashMap<>()), workKind, millis);
    }

    /** Records a run at another target. */
    public synchronized void recordElsewhere(String workKind, double millis) {
        record(mElsewhere, workKind, millis);
    }

    private static void record(Map<String, Mean> means, String workKind, double millis) {
        if (means.size() < MAX_KINDS || means.containsKey(workKind)) {
            means.merge(workKind, Mean.NONE.with(millis), (old, one) -> old.with(millis));
        }
    }

    /** Returns the run time at a target beside the entry, relative to that at other targets. */
    public synchronized double slownessOf(String targetId) {
        double weighted = 0;
        double weights = 0;
        for (Map.Entry<String, Mean> entry : mBeside.getOrDefault(targetId, Map.of()).entrySet()) {
            Mean beside = entry.getValue();
            Mean elsewhere = mElsewhere.getOrDefault(entry.getKey(), Mean.NONE);
            int runs = Math.min(beside.runs(), elsewhere.runs());
            if (runs >= MIN_RUNS && elsewhere.millis() > 0) {
                weighted += runs * beside.millis() / elsewhere.millis();
                weights += runs;
            }
        }
        return weights == 0 ? 1 : weighted / weights;
    }
}
