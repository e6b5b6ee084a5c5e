package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * Which retries of a service a node may let through beside its share of the requests.
 *
 * <pre>{@code
 * RetryPool pool = RetryPool.ofFleet(62, 10);
 * }</pre>
 *
 * <p>Nodes share no counter. What the operator allows the whole fleet holds in sum only if every
 * node keeps to its equal part. The guards count, where a platform bounds the sum: a service has
 * six or nine of them, the fleet 24 entries, and a part of two retries in ten seconds stood unused
 * at one entry while another was out of it (of what was allowed less than a fifth was used).
 */
@FunctionalInterface
public interface RetryAllowancePolicy {
    /** Bounds for a site that bounds no sum: ten at once and one a second for each node. */
    RetryAllowancePolicy PER_NODE = sharers -> new Allowance(10, 1, InitialFill.FULL);

    /** Bounds nothing; for the end of the path where somebody else counts. */
    RetryAllowancePolicy UNBOUNDED = sharers -> new Allowance(100_000, 1_000, InitialFill.FULL);

    /**
     * Returns what a node may let through at present beside its share of the requests.
     *
     * @param sharers how many nodes share the fleet's part
     */
    Allowance allowance(int sharers);

    /**
     * What a node may retry beside its share of the requests.
     *
     * @param burst retries that may be saved up, at least 1
     * @param perSecond retries allowed each second whatever the traffic
     * @param initialFill from when on they are saved up
     */
    record Allowance(double burst, double perSecond, InitialFill initialFill) {
        /**
         * Makes a budget.
         *
         * @param share retries for each request, from 0 to 1
         * @param startedMillis when the process started
         */
        RetryBudget newBudget(double share, long startedMillis) {
            return initialFill == InitialFill.FULL
                    ? new RetryBudget(share, burst, perSecond)
                    : RetryBudget.startingEmpty(startedMillis, share, burst, perSecond);
        }
    }

    /** From when on retries are saved up. */
    enum InitialFill {
        /** A fresh process has its savings. */
        FULL,
        /** A fresh process has none. */
        EMPTY
    }

    /**
     * Returns a node's equal part of the retries that the whole fleet may make in each window.
     *
     * <p>In a window fall the savings and what comes in meanwhile; each gets half. A process starts
     * with nothing saved: a fleet that is killed and restarted at once would otherwise spend its
     * savings twice within one window.
     *
     * @param perWindow retries that all nodes together may make in a window
     * @param windowSeconds length of the window
     */
    static RetryAllowancePolicy ofFleet(double perWindow, double windowSeconds) {
        Checks.inRange("perWindow", perWindow, 0.0, 1_000_000.0);
        Checks.inRange("windowSeconds", windowSeconds, 1.0, 3_600.0);
        return sharers -> {
            double part = perWindow / Math.max(1, sharers);
            return new Allowance(
                    Math.max(1, part / 2), part / 2 / windowSeconds, InitialFill.EMPTY);
        };
    }
}
