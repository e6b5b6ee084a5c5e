package org.apricotgauge.platform;

import java.util.List;
import org.apricotgauge.model.VmStatus;

/**
 * One answer to a read of the list of VMs: what changed after the revision that was asked for.
 *
 * <p>Pages keep a value under 1 MB: 7,100 VMs take about 1.2 MB in one piece. A reader goes on from
 * {@code revision} until {@code more} is false.
 *
 * @param revision the revision that this page brings its reader to
 * @param vms VMs that were added or changed, oldest change first
 * @param removed names of VMs that were taken off the list
 * @param more whether further changes wait behind this page
 */
public record VmPage(long revision, List<VmStatus> vms, List<String> removed, boolean more) {

    /** Copies the lists. */
    public VmPage {
        vms = vms == null ? List.of() : List.copyOf(vms);
        removed = removed == null ? List.of() : List.copyOf(removed);
    }
}
