package org.apricotgauge.standin;

import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apricotgauge.model.Address;

/**
 * What became of a load.
 *
 * @param sent requests started
 * @param told how many were told what
 * @param orders what was told of each request that must not run twice, by its id
 * @param reasons how many were told which reason beside "not run" or "unknown"
 * @param brokenAt connections that broke under a request, by the entry's address
 * @param rerouted connections refused before anything was sent, and another entry taken
 * @param latency time from the intended start to the end of the answer, in microseconds
 */
public record LoadReport(
        long sent,
        Map<Told, Long> told,
        Map<String, Told> orders,
        Map<String, Long> reasons,
        Map<Address, Long> brokenAt,
        long rerouted,
        Histogram latency) {

    /** Copies the maps. */
    public LoadReport {
        told = Map.copyOf(told);
        orders = Map.copyOf(orders);
        reasons = Map.copyOf(reasons);
        brokenAt = Map.copyOf(brokenAt);
    }

    /** Returns how many requests were told this. */
    public long count(Told what) {
        return told.getOrDefault(what, 0L);
    }

    /** Returns a latency percentile in milliseconds. */
    public double latencyMillis(double percentile) {
        return latency.getValueAtPercentile(percentile) / 1_000.0;
    }
}
