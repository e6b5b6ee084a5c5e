package org.apricotgauge.directory;

/**
 * A change of a target's state as known to a node, as it is logged.
 *
 * @param name name of the registration
 * @param target id of the target's process
 * @param from state before
 * @param to state after
 * @param sequence number of writes by the process up to its last registration
 */
record TargetChange(String name, String target, Presence from, Presence to, long sequence) {

    /** The state of a target. */
    enum Presence {
        /** The target is unknown, or was removed. */
        ABSENT,
        /** The target is registered and accepts work. */
        READY,
        /** The target announced that it is leaving. */
        LEAVING,
        /** The registration ended without a leaving notice; the target may register again. */
        ENDED
    }
}
