package org.apricotgauge.node;

import java.util.Set;
import org.apricotgauge.caller.EntryOptions;
import org.apricotgauge.decision.ratelimit.FallbackQuota;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Vm;

/**
 * What a node is, whatever platform it runs on.
 *
 * @param vm the node's own VM, with the ports that are set; 0 for any free one
 * @param drainMillis longest time that a stop takes
 * @param announceMillis how long a stopping node serves as before, until callers and peers know
 * @param maxCallerConnections callers' connections that the node accepts at once
 * @param readyPaths paths of the administration API that tell readiness, beside its own
 * @param listensEarly whether callers are let in before a configuration is known, and refused
 * @param healthReportAddress address at which the node hears of targets' health; null if nobody
 *     tells it
 * @param crashMessageAddress address at which the node hears of crashes; null for the peer port
 * @param evidenceBytesPerSecond most bytes of evidence that the node puts on its answers
 * @param limitTolerance what the operator tolerates beyond members' limits
 * @param entry what differs between sites on the way from callers
 */
record NodeProfile(
        Vm vm,
        long drainMillis,
        long announceMillis,
        int maxCallerConnections,
        Set<String> readyPaths,
        boolean listensEarly,
        Address healthReportAddress,
        Address crashMessageAddress,
        int evidenceBytesPerSecond,
        FallbackQuota.Tolerance limitTolerance,
        EntryOptions entry) {

    /** Checks the parts. */
    NodeProfile {
        Checks.notNull("vm", vm);
        Checks.notNull("limitTolerance", limitTolerance);
        Checks.notNull("entry", entry);
        readyPaths = Set.copyOf(readyPaths);
    }
}
