package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;

/**
 * A node's own word that its VM, or one target on it, is leaving.
 *
 * <p>It can only make a target leave sooner; it ends when the node starts again, which its higher
 * incarnation shows.
 *
 * @param vm the VM
 * @param target the target on it that is leaving; empty for the whole VM
 * @param incarnation the run of the node that said so
 */
public record LeavingNotice(String vm, String target, long incarnation) {
    /** Stands for the whole VM in place of a target. */
    public static final String WHOLE_VM = "";

    /** Checks the parts. */
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
