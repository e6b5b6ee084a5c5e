package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * A VM is leaving, with all its targets.
 *
 * @param vm id of the VM
 * @param source who told it: guard, peer or platform
 */
public record VmLeaving(String vm, String source) implements EventBody {

    /** Checks the parts. */
    public VmLeaving {
        Checks.id("vm", vm);
        source = EventText.bounded("source", source);
    }
}
