package org.apricotgauge.event;

import java.util.List;
import org.apricotgauge.model.Checks;

/**
 * A part of a node's events, in the order of their sequence numbers.
 *
 * @param node id of the VM
 * @param incarnation tells this run of the node from the next; a reader that finds another one than
 *     before starts again at {@code since=0}
 * @param readAt reading of the node's clock; every event of this run that is not in or before this
 *     page, and is not lost, has a greater one if the page goes up to {@code lastSequence}
 * @param lost events after the asked-for number that the ring holds no longer
 * @param nextSince number to ask with next
 * @param lastSequence number of the newest event of the node
 * @param events the events
 */
public record EventPage(
        String node,
        long incarnation,
        HlcTimestamp readAt,
        long lost,
        long nextSince,
        long lastSequence,
        List<Event> events) {

    /** Checks the parts. */
    public EventPage {
        Checks.id("page.node", node);
        Checks.notNull("page.readAt", readAt);
        Checks.inRange("page.lost", lost, 0, Long.MAX_VALUE);
        events = List.copyOf(events);
    }

    /** Returns whether the page goes up to the newest event. */
    public boolean isComplete() {
        return nextSince >= lastSequence;
    }
}
