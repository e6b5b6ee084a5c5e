package org.apricotgauge.bench.soak;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Counts of one soak or of several together.
 *
 * <pre>{@code
 * Tally total = Tally.EMPTY.plus(first.tally()).plus(second.tally());
 * }</pre>
 *
 * @param counts the counts by name, in their order
 */
record Tally(Map<String, Long> counts) {
    static final Tally EMPTY = new Tally(Map.of());

    Tally {
        counts = new LinkedHashMap<>(counts);
    }

    Tally plus(Tally other) {
        Map<String, Long> sums = new LinkedHashMap<>(counts);
        other.counts.forEach((name, count) -> sums.merge(name, count, Long::sum));
        return new Tally(sums);
    }

    /** Returns the counts in one line. */
    String line() {
        return counts.entrySet().stream()
                .map(count -> count.getKey() + '=' + count.getValue())
                .collect(Collectors.joining(" "));
    }
}
