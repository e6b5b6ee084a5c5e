package org.apricotgauge.decision.gossip;

import java.util.List;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Vm;

/**
 * Who a node is.
 *
 * @param site name of the site; nodes of different sites do not talk
 * @param vm the node's own VM
 * @param incarnation this run of the node; higher than that of the run before, such as the wall
 *     clock in milliseconds at its start
 * @param seeds addresses to try while no other node is known; may be empty
 */
public record NodeIdentity(String site, Vm vm, long incarnation, List<Address> seeds) {

    /** Checks the parts. */
    public NodeIdentity {
        Checks.id("site", site);
        Checks.notNull("vm", vm);
        Checks.inRange("incarnation", incarnation, 1, Long.MAX_VALUE / 4);
        seeds = List.copyOf(Checks.notNull("seeds", seeds));
    }
}
