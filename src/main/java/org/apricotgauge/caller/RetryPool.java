package org.apricotgauge.caller;

import java.util.function.IntSupplier;
import org.apricotgauge.model.Checks;

/**
 * How many retries of one service an entry may save up, beside its share of the requests.
 *
 * <pre>{@code
 * RetryPool pool = RetryPool.ofFleet(62, () -> nodes.size());
 * }</pre>
 *
 * <p>Nodes share no counter. What the operator allows the whole fleet holds in sum only if every
 * node keeps to its equal part, whichever node the callers are at.
 *
 * @param burst retries that may be saved up, at least 1; read when a budget is made
 * @param minPerSecond retries allowed each second whatever the traffic
 * @param startsFull whether a fresh process has its savings at once
 */
public record RetryPool(IntSupplier burst, int minPerSecond, boolean startsFull) {
    /** Bounds for a site that bounds no sum: ten at once and one a second for each node. */
    public static final RetryPool PER_NODE = new RetryPool(() -> 10, 1, true);

    /** Checks the parts. */
    public RetryPool {
        Checks.notNull("burst", burst);
        Checks.inRange("minPerSecond", minPerSecond, 0, 1_000);
    }

    /**
     * Returns a node's equal part of the retries that the whole fleet may save up.
     *
     * <p>A process starts with nothing saved: a fleet that is killed and restarted at once would
     * otherwise have its savings twice within one window.
     *
     * @param fleetBurst retries that all nodes together may save up
     * @param nodes how many nodes there are
     */
    public static RetryPool ofFleet(int fleetBurst, IntSupplier nodes) {
        Checks.inRange("fleetBurst", fleetBurst, 1, 1_000_000);
        return new RetryPool(
                () -> Math.max(1, fleetBurst / Math.max(1, nodes.getAsInt())), 0, false);
    }
}
