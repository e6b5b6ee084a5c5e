package org.apricotgauge.decision.routing;

import org.apricotgauge.model.Checks;

/**
 * The decisions by the load of a whole service that a node takes part in.
 *
 * <pre>{@code
 * LoadSharing loadSharing = LoadSharing.ofCpuShare(0.25);
 * if (loadSharing.localFirst()) { … }
 * }</pre>
 *
 * <p>A node with little processor time can't afford to look for a free slot from guard to guard: it
 * keeps a request on its own VM if it can, sends a body only where there is a slot for it, and
 * looks for a retry only where one is likely.
 *
 * @param localFirst whether the target beside the entry is preferred while it has a free slot
 * @param rankedRetries whether retries go to the requests that gain most by them while a service
 *     sheds
 * @param bodiesOnDemand whether a large body is sent once a guard has a slot for its request, and
 *     kept for another attempt
 */
public record LoadSharing(boolean localFirst, boolean rankedRetries, boolean bodiesOnDemand) {
    /** Targets are chosen by the load that each entry observes by itself. */
    public static final LoadSharing NONE = new LoadSharing(false, false, false);

    /** Nodes with less processor time than this share load, in cores. */
    static final double MAX_CPU_SHARE = 0.5;

    /**
     * Returns what a node takes part in.
     *
     * @param cpuShare processor time that the VM grants to the node, in cores
     */
    public static LoadSharing ofCpuShare(double cpuShare) {
        Checks.inRange("cpuShare", cpuShare, 0.0, Double.MAX_VALUE);
        boolean shared = cpuShare < MAX_CPU_SHARE;
        return new LoadSharing(shared, shared, shared);
    }
}
