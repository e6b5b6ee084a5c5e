package org.apricotgauge.decision.gossip;

import java.util.List;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Vm;

/**
 * The identity of a node.
 *
 * @param site name of the site; nodes of different sites do not communicate
 * @param vm the node's own VM
 * @param incarnation identifies this run of the node; higher than that of the previous run, such as
 *     the wall clock in milliseconds at startup
 * @param seeds addresses to dial while no other node is known; may be empty
 */
public record NodeIdentity(String site, Vm vm, long incarnation, List<Address> seeds) {

    /** Maximum initial incarnation; a node takes later ones when it refutes items about itself. */
    public static final long MAX_INCARNATION = Long.MAX_VALUE / 8;

    /** Validates the components. */
    public NodeIdentity {
        Checks.id("site", site);
        Checks.notNull("vm", vm);
        Checks.inRange("incarnation", incarnation, 1, MAX_INCARNATION);
        seeds = List.copyOf(Checks.notNull("seeds", seeds));
    }
}
