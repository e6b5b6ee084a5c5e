package org.apricotgauge.event;

import java.util.Comparator;
import org.apricotgauge.model.Checks;

/**
 * Names one event of the fleet.
 *
 * @param node id of the VM whose node recorded it
 * @param incarnation tells one run of that node from the next; compared for equality only
 * @param sequence place among the events of that run, from 1
 */
public record EventId(String node, long incarnation, long sequence) implements Comparable<EventId> {
    private static final Comparator<EventId> ORDER =
            Comparator.comparing(EventId::node)
                    .thenComparingLong(EventId::incarnation)
                    .thenComparingLong(EventId::sequence);
    private static final int PARTS = 3;

    /** Checks the parts. */
    public EventId {
        Checks.id("event.node", node);
        Checks.inRange("event.incarnation", incarnation, 0, Long.MAX_VALUE);
        Checks.inRange("event.sequence", sequence, 1, Long.MAX_VALUE);
    }

    /**
     * Reads the form of {@link #toString}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static EventId parse(String text) {
        String[] parts = Checks.notNull("event id", text).split("/", -1);
        if (parts.length != PARTS) {
            throw new IllegalArgumentException(
                    "event id must be NODE/INCARNATION/SEQUENCE, was \"" + text + '"');
        }
        return new EventId(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]));
    }

    @Override
    public int compareTo(EventId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return node + '/' + incarnation + '/' + sequence;
    }
}
