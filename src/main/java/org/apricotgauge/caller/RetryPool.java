package org.apricotgauge.caller;

import java.util.function.IntSupplier;
import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.model.Checks;

/**
 * Which retries of a service an entry may make beside its share of the requests.
 *
 * <pre>{@code
 * RetryPool pool = RetryPool.ofFleet(62, 10, nodes::get);
 * }</pre>
 *
 * <p>Nodes share no counter. What the operator allows the whole fleet holds in sum only if every
 * node keeps to its equal part, whichever node the callers are at.
 */
@FunctionalInterface
public interface RetryPool {
    /** Bounds for a site that bounds no sum: ten at once and one a second for each node. */
    RetryPool PER_NODE = () -> new Extra(10, 1, Saving.AT_ONCE);

    /** Returns what a node may retry at present beside its share of the requests. */
    Extra extra();

    /**
     * What a node may retry beside its share of the requests.
     *
     * @param burst retries that may be saved up, at least 1
     * @param perSecond retries allowed each second whatever the traffic
     * @param saving from when on they are saved up
     */
    record Extra(double burst, double perSecond, Saving saving) {
        /**
         * Makes a budget.
         *
         * @param share retries for each request, from 0 to 1
         * @param startedMillis when the process started
         */
        RetryBudget budget(double share, long startedMillis) {
            return saving == Saving.AT_ONCE
                    ? new RetryBudget(share, burst, perSecond)
                    : RetryBudget.savingSince(startedMillis, share, burst, perSecond);
        }
    }

    /** From when on retries are saved up. */
    enum Saving {
        /** A fresh process has its savings. */
        AT_ONCE,
        /** A fresh process has none. */
        SINCE_START
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
     * @param nodes how many nodes there are
     */
    static RetryPool ofFleet(double perWindow, double windowSeconds, IntSupplier nodes) {
        Checks.inRange("perWindow", perWindow, 0.0, 1_000_000.0);
        Checks.inRange("windowSeconds", windowSeconds, 1.0, 3_600.0);
        return () -> {
            double part = perWindow / Math.max(1, nodes.getAsInt());
            return new Extra(Math.max(1, part / 2), part / 2 / windowSeconds, Saving.SINCE_START);
        };
    }
}
