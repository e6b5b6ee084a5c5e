package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.VmStatus;

/**
 * One VM in the platform's list at a revision.
 *
 * @param revision the revision at which the line was valid
 * @param id the ID of the VM
 * @param status the listed status; null if the VM was removed from the list
 */
public record VmLine(long revision, String id, VmStatus status) {

    /** Validates the components. */
    public VmLine {
        Checks.inRange("revision", revision, 0, Long.MAX_VALUE);
        Checks.id("id", id);
    }

    boolean removed() {
        return status == null;
    }
}
