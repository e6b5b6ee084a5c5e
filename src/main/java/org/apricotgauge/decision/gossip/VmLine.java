package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.VmStatus;

/**
 * One VM as the platform's list had it at a revision.
 *
 * @param revision the revision of which this is the state
 * @param id name of the VM
 * @param status the line of the list; null if the VM was taken off it
 */
public record VmLine(long revision, String id, VmStatus status) {

    /** Checks the parts. */
    public VmLine {
        Checks.inRange("revision", revision, 0, Long.MAX_VALUE);
        Checks.id("id", id);
    }

    boolean removed() {
        return status == null;
    }
}
