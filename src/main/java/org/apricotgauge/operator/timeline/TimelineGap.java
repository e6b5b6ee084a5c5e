package org.apricotgauge.operator.timeline;

import org.apricotgauge.model.Address;

/** Something that the time line lacks; always told, so that silence is not read as peace. */
sealed interface TimelineGap {

    /** Returns the administration address of the node. */
    Address node();

    /**
     * A node gave no answer.
     *
     * @param node its administration address
     * @param reason why, in one line
     */
    record NodeSilent(Address node, String reason) implements TimelineGap {}

    /**
     * A node's ring no longer held some events.
     *
     * @param node its administration address
     * @param count how many
     */
    record EventsLost(Address node, long count) implements TimelineGap {}
}
