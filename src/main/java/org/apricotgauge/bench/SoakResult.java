package org.apricotgauge.bench;

import java.util.Map;
import org.apricotgauge.standin.LoadReport;
import org.apricotgauge.standin.Told;

/**
 * What a soak run counted, judged against what must always hold.
 *
 * @param load what callers were told
 * @param runs how often each request ran, over all targets
 * @param steps how often each kind of fault was made
 * @param notReady restarted nodes that were not ready within 20 s
 * @param versionFalls readings of a node's version below an earlier one
 * @param brokenInvariants invariants that a node found broken
 */
record SoakResult(
        LoadReport load,
        Map<String, Integer> runs,
        Map<SoakStep, Integer> steps,
        int notReady,
        int versionFalls,
        int brokenInvariants) {

    private long orders(Told told, int minRuns, int maxRuns) {
        return load.orders().entrySet().stream()
                .filter(order -> told == null || order.getValue() == told)
                .mapToInt(order -> runs.getOrDefault(order.getKey(), 0))
                .filter(count -> count >= minRuns && count <= maxRuns)
                .count();
    }

    private long ranTwice() {
        return orders(null, 2, Integer.MAX_VALUE);
    }

    private long ranThoughToldNot() {
        return orders(Told.NOT_RUN, 1, Integer.MAX_VALUE);
    }

    private long answeredThoughNotRun() {
        return orders(Told.ANSWERED, 0, 0);
    }

    private long untold() {
        return load.sent() - load.told().values().stream().mapToLong(Long::longValue).sum();
    }

    boolean isSound() {
        return load.count(Told.WRONG) == 0
                && load.count(Told.REFUSED) == 0
                && ranTwice() == 0
                && ranThoughToldNot() == 0
                && answeredThoughNotRun() == 0
                && untold() == 0
                && versionFalls == 0
                && brokenInvariants == 0;
    }

    String table() {
        StringBuilder table = new StringBuilder();
        steps.forEach((step, count) -> row(table, "made: " + step, count));
        row(table, "restarted nodes not ready in 20 s", notReady);
        row(table, "requests", load.sent());
        for (Told told : Told.values()) {
            row(table, "told " + told, load.count(told));
        }
        load.reasons().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(reason -> row(table, "  " + reason.getKey(), reason.getValue()));
        row(table, "orders", load.orders().size());
        row(table, "orders run twice (must be 0)", ranTwice());
        row(table, "told not run, yet ran (must be 0)", ranThoughToldNot());
        row(table, "answered, yet not run (must be 0)", answeredThoughNotRun());
        row(table, "never told anything (must be 0)", untold());
        row(table, "version fell (must be 0)", versionFalls);
        row(table, "invariants broken in a node (must be 0)", brokenInvariants);
        return table.toString();
    }

    private static void row(StringBuilder table, String name, long value) {
        table.append(String.format("%-46s %12d%n", name, value));
    }
}
