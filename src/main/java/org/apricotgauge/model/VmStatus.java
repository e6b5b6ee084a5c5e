package org.apricotgauge.model;

/**
 * One line of the platform's lagging list of VMs.
 *
 * @param vm the VM
 * @param state what the platform last knew of it
 */
public record VmStatus(Vm vm, State state) {

    /** What the platform says of a VM. */
    public enum State {
        /** The VM serves. */
        LIVE,
        /** The VM is about to go; its targets receive no new work. */
        LEAVING
    }

    /** Checks the parts. */
    public VmStatus {
        Checks.notNull("vm", vm);
        Checks.notNull("state", state);
    }
}
