package org.apricotgauge.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apricotgauge.model.Checks;

/**
 * Times in which further callers send.
 *
 * @param bursts the times, from the start of the load
 */
record Bursts(List<Burst> bursts) {
    private static final long MIN_GAP_MILLIS = 2_000;
    private static final long MAX_GAP_MILLIS = 8_000;
    private static final long MIN_MILLIS = 500;
    private static final long MAX_MILLIS = 2_000;

    /** One burst, from its start to its end. */
    record Burst(long startMillis, long endMillis) {
        Burst {
            Checks.inRange("endMillis", endMillis, startMillis, Long.MAX_VALUE);
        }
    }

    Bursts {
        bursts = List.copyOf(bursts);
    }

    static Bursts plan(long loadMillis, SplittableRandom random) {
        List<Burst> bursts = new ArrayList<>();
        long at = random.nextLong(MIN_GAP_MILLIS, MAX_GAP_MILLIS + 1);
        while (at < loadMillis) {
            long end = at + random.nextLong(MIN_MILLIS, MAX_MILLIS + 1);
            bursts.add(new Burst(at, end));
            at = end + random.nextLong(MIN_GAP_MILLIS, MAX_GAP_MILLIS + 1);
        }
        return new Bursts(bursts);
    }

    boolean isOn(long millis) {
        return bursts.stream()
                .anyMatch(burst -> burst.startMillis() <= millis && millis < burst.endMillis());
    }
}
