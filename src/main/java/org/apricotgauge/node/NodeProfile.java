package org.apricotgauge.node;

import java.util.Set;
import org.apricotgauge.caller.EntryOptions;
import org.apricotgauge.decision.ratelimit.FallbackQuota;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Vm;

/**
 * The settings of a node that don't depend on its platform.
 *
 * @param vm the node's own VM, with the configured ports; 0 for any free one
 * @param drainMillis maximum time that a stop takes
 * @param killMillis when the platform kills a process that has not ended, counted from its signal
 * @param announceMillis how long a stopping node serves as before, until callers and peers know of
 *     the stop
 * @param maxCallerConnections maximum number of concurrent connections of callers
 * @param readyPaths further paths of the administration API that report readiness
 * @param listensEarly whether the caller port opens before a configuration is known; requests are
 *     refused until then
 * @param healthReportAddress address at which the node receives health reports; null if it takes no
 *     part in them
 * @param crashMessageAddress address at which the node receives crash messages; null for the peer
 *     port
 * @param evidenceBytesPerSecond maximum bytes of evidence a second on the node's responses
 * @param limitTolerance tolerance beyond members' limits
 * @param entry options of the entry that differ between sites
 */
record NodeProfile(
        Vm vm,
        long drainMillis,
        long killMillis,
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

    /** Returns the VM with the ports that the node listens at. */
    Vm vmWithPorts(int guardPort, int adminPort) {
        return new Vm(
                vm.id(),
                vm.failureDomain(),
                vm.host(),
                vm.callerPort(),
                guardPort,
                vm.peerPort(),
                adminPort);
    }
}
