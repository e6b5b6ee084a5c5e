package org.apricotgauge.model;

/**
 * A VM that holds targets and, in its slot, usually one node of the fleet.
 *
 * @param id name of the VM
 * @param failureDomain name of the failure domain the VM stands in
 * @param host IP number of the VM
 * @param callerPort port at which the node serves callers
 * @param guardPort port at which the node serves other nodes' requests for its targets; 0 if the VM
 *     has no node, and its targets are reached directly
 * @param peerPort port of the control protocol between nodes; 0 if the VM has no node
 * @param adminPort port of the administration API; 0 if the VM has no node
 */
public record Vm(
        String id,
        String failureDomain,
        String host,
        int callerPort,
        int guardPort,
        int peerPort,
        int adminPort) {
    private static final int MAX_PORT = 65_535;

    /** Checks the parts. */
    public Vm {
        Checks.id("vm.id", id);
        Checks.id("vm.failureDomain", failureDomain);
        Checks.notBlank("vm.host", host);
        Checks.inRange("vm.callerPort", callerPort, 0, MAX_PORT);
        Checks.inRange("vm.guardPort", guardPort, 0, MAX_PORT);
        Checks.inRange("vm.peerPort", peerPort, 0, MAX_PORT);
        Checks.inRange("vm.adminPort", adminPort, 0, MAX_PORT);
    }

    /** Returns whether a node runs in this VM's slot, so far as the platform says. */
    public boolean hasNode() {
        return guardPort != 0;
    }
}
