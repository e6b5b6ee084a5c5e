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

    /** Highest incarnation; a node takes later ones when it has to refute what is said of it. */
    public static final long MAX_INCARNATION = Long.MAX_VALUE / 8;

    /** Checks the parts. */
    public NodeIdentity {
        Checks.id("site", site);
        Checks.notNull("vm", vm);
        Checks.inRange("incarnation", incarnation, 1, MAX_INCARNATION);
        seeds = List.copyOf(Checks.notNull("seeds", seeds));
    }
}
