package org.apricotgauge.standin;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.apricotgauge.model.Address;

/**
 * What a trial showed, judged against what must always hold.
 *
 * @param fleet load through the fleet
 * @param direct load at the targets themselves, or null
 * @param secondsToRelief time until the gray target got no more work, if one fell ill
 * @param runs how often each request ran, over all targets, by the request's id
 * @param killed entries that were killed on the way
 */
record TrialResult(
        LoadReport fleet,
        LoadReport direct,
        OptionalDouble secondsToRelief,
        Map<String, Integer> runs,
        List<Address> killed) {
    private static final double P50 = 50.0;
    private static final double P99 = 99.0;

    /** Returns orders that ran more than once. */
    long ordersRunTwice() {
        return fleet.orders().keySet().stream().filter(id -> ranTimes(id) > 1).count();
    }

    /** Returns orders whose callers were told "not run" though they ran. */
    long ranThoughToldNot() {
        return fleet.orders().entrySet().stream()
                .filter(order -> order.getValue() == Told.NOT_RUN)
                .filter(order -> ranTimes(order.getKey()) > 0)
                .count();
    }

    /** Returns orders that were answered though they did not run. */
    long answeredThoughNotRun() {
        return fleet.orders().entrySet().stream()
                .filter(order -> order.getValue() == Told.ANSWERED)
                .filter(order -> ranTimes(order.getKey()) == 0)
                .count();
    }

    /** Returns requests whose callers were never told anything. */
    long untold() {
        return fleet.sent() - fleet.told().values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns connections that broke under a request at entries that were not killed. */
    long brokenWithoutKill() {
        return fleet.brokenAt().entrySet().stream()
                .filter(broken -> !killed.contains(broken.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Returns whether everything that must be zero is zero. */
    boolean isSound() {
        return fleet.count(Told.WRONG) == 0
                && fleet.count(Told.REFUSED) == 0
                && ordersRunTwice() == 0
                && ranThoughToldNot() == 0
                && answeredThoughNotRun() == 0
                && untold() == 0
                && brokenWithoutKill() == 0;
    }

    private int ranTimes(String id) {
        return runs.getOrDefault(id, 0);
    }

    /** Returns the table that the demonstration prints. */
    String table() {
        StringBuilder table = new StringBuilder();
        row(table, "requests", fleet.sent());
        row(table, "answered", fleet.count(Told.ANSWERED));
        row(table, "answered with an error of the target", fleet.count(Told.TARGET_ERROR));
        row(table, "told not run", fleet.count(Told.NOT_RUN));
        row(table, "told unknown", fleet.count(Told.UNKNOWN));
        fleet.reasons().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(reason -> row(table, "  " + reason.getKey(), reason.getValue()));
        row(table, "connection broke (counted as unknown)", fleet.count(Told.BROKEN));
        row(table, "connection broke without a kill (must be 0)", brokenWithoutKill());
        row(table, "connections refused, other entry taken", fleet.rerouted());
        row(table, "wrong or mixed answers (must be 0)", fleet.count(Told.WRONG));
        row(table, "requests refused as bad (must be 0)", fleet.count(Told.REFUSED));
        row(table, "orders run twice (must be 0)", ordersRunTwice());
        row(table, "told not run, yet ran (must be 0)", ranThoughToldNot());
        row(table, "answered, yet not run (must be 0)", answeredThoughNotRun());
        row(table, "never told anything (must be 0)", untold());
        if (secondsToRelief.isPresent()) {
            row(table, "seconds until the gray target was relieved", secondsToRelief.getAsDouble());
        } else {
            table.append(String.format("%-46s %12s%n", "gray target", "not relieved"));
        }
        row(table, "latency through the fleet, p50, ms", fleet.latencyMillis(P50));
        row(table, "latency through the fleet, p99, ms", fleet.latencyMillis(P99));
        if (direct != null) {
            row(table, "latency direct, p50, ms", direct.latencyMillis(P50));
            row(table, "latency direct, p99, ms", direct.latencyMillis(P99));
        }
        return table.toString();
    }

    private static void row(StringBuilder table, String name, long value) {
        table.append(String.format("%-46s %12d%n", name, value));
    }

    private static void row(StringBuilder table, String name, double value) {
        table.append(String.format("%-46s %12.2f%n", name, value));
    }
}
