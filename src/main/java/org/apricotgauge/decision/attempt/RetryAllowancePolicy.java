package org.apricotgauge.decision.attempt;

import org.apricotgauge.model.Checks;

/**
 * Determines how many retries a node may allow in addition to those that the service's retry budget
 * grants as a percentage of its requests.
 *
 * <pre>{@code
 * RetryAllowancePolicy policy = RetryAllowancePolicy.ofFleet(62, 10);
 * }</pre>
 *
 * <p>Nodes share no counter, so the fleet keeps its total only if every node stays within an equal
 * part. Where a platform limits the total, the guards count instead of the entries: a service has
 * six or nine guards, but the fleet has 24 entries. With a part of two retries in ten seconds per
 * entry, some entries used none while others ran out, and less than a fifth of the total was used.
 */
@FunctionalInterface
public interface RetryAllowancePolicy {
    /** For a site without a fleet-wide limit: bursts of ten and one per second for each node. */
    RetryAllowancePolicy PER_NODE = nodeCount -> new Allowance(10, 1, InitialFill.FULL);

    /** No limit, for the entry or the guard if the other one enforces the limit. */
    RetryAllowancePolicy UNBOUNDED = nodeCount -> new Allowance(100_000, 1_000, InitialFill.FULL);

    /**
     * Returns the current allowance of a node.
     *
     * @param nodeCount number of nodes that share the fleet's allowance
     */
    Allowance allowance(int nodeCount);

    /**
     * Retries that a node may allow in addition to the percentage of its requests.
     *
     * @param burst capacity of the token bucket in retries, at least 1
     * @param perSecond retries allowed per second independent of the traffic
     * @param initialFill tokens in the bucket at the start of the process
     * @param windowMillis window in which the burst is allowed, if retries are counted over a
     *     sliding window; 0 for a token bucket
     */
    record Allowance(double burst, double perSecond, InitialFill initialFill, long windowMillis) {
        Allowance(double burst, double perSecond, InitialFill initialFill) {
            this(burst, perSecond, initialFill, 0);
        }

        /**
         * Creates a budget.
         *
         * @param share retries per request, from 0 to 1
         * @param startedAtMillis when the process started
         */
        RetryBudget newBudget(double share, long startedAtMillis) {
            if (windowMillis > 0) {
                WindowRetryBudget budget = new WindowRetryBudget(windowMillis, startedAtMillis);
                budget.setBounds(share, burst);
                return budget;
            }
            return initialFill == InitialFill.FULL
                    ? new TokenBucketRetryBudget(share, burst, perSecond)
                    : TokenBucketRetryBudget.startingEmpty(
                            startedAtMillis, share, burst, perSecond);
        }

        // Written out: the methods that a record inherits are linked when they are first called,
        // which
        // takes milliseconds of a node's start.
        @Override
        public boolean equals(Object other) {
            return other instanceof Allowance that
                    && Double.compare(burst, that.burst) == 0
                    && Double.compare(perSecond, that.perSecond) == 0
                    && initialFill == that.initialFill
                    && windowMillis == that.windowMillis;
        }

        @Override
        public int hashCode() {
            return 31 * Double.hashCode(burst) + Double.hashCode(perSecond);
        }
    }

    /** Tokens in the bucket of a new process. */
    enum InitialFill {
        /** A new process starts with a full bucket. */
        FULL,
        /** A new process starts with an empty bucket. */
        EMPTY
    }

    /**
     * Returns a policy that divides the fleet's retries per window equally among its nodes.
     *
     * <p>A node can use its full bucket and the refill within one window, so the bucket and the
     * refill each get half of the node's part. A process starts with an empty bucket: otherwise, a
     * fleet that is killed and restarted could use its buckets twice within one window.
     *
     * @param perWindow retries allowed to all nodes together in a window
     * @param windowSeconds length of the window
     */
    static RetryAllowancePolicy ofFleet(double perWindow, double windowSeconds) {
        Checks.inRange("perWindow", perWindow, 0.0, 1_000_000.0);
        Checks.inRange("windowSeconds", windowSeconds, 1.0, 3_600.0);
        return nodeCount -> {
            double part = perWindow / Math.max(1, nodeCount);
            return new Allowance(
                    Math.max(1, part / 2), part / 2 / windowSeconds, InitialFill.EMPTY);
        };
    }

    /**
     * Returns a policy that divides the fleet's retries per window equally among its nodes, each of
     * which counts them over a sliding window and by rank.
     *
     * @param perWindow retries allowed to all nodes together in a window
     * @param windowSeconds length of the window
     */
    static RetryAllowancePolicy ofFleetByRank(double perWindow, double windowSeconds) {
        Checks.inRange("perWindow", perWindow, 0.0, 1_000_000.0);
        Checks.inRange("windowSeconds", windowSeconds, 1.0, 3_600.0);
        long windowMillis = (long) Math.ceil(windowSeconds * 1_000);
        return nodeCount ->
                new Allowance(
                        perWindow / Math.max(1, nodeCount), 0, InitialFill.EMPTY, windowMillis);
    }
}
