package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;

/**
 * An announcement by a node that its VM, or one target on it, is leaving.
 *
 * <p>A notice can only make a target leave sooner. It expires when the node restarts, which is
 * detected by the node's higher incarnation.
 *
 * @param vm the VM
 * @param target the target on it that is leaving; empty for the whole VM
 * @param incarnation the incarnation of the node that published the notice
 */
public record LeavingNotice(String vm, String target, long incarnation) {
    /** The value of {@code target} that denotes the whole VM. */
    public static final String WHOLE_VM = "";

    /** Validates the components. */
    public LeavingNotice {
        Checks.id("vm", vm);
        Checks.notNull("target", target);
        Checks.inRange("incarnation", incarnation, 0, Long.MAX_VALUE);
    }

    /** Returns whether the whole VM is leaving. */
    public boolean wholeVm() {
        return target.isEmpty();
    }
}
