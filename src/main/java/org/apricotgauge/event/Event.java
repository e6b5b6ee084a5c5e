package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * Something that changed at a node.
 *
 * @param id names the event
 * @param hlc reading of the node's hybrid logical clock
 * @param wallMillis the node's wall time in milliseconds since 1970, for people
 * @param cause what led to it
 * @param body what happened
 */
public record Event(EventId id, HlcTimestamp hlc, long wallMillis, Cause cause, EventBody body) {

    /** Checks the parts. */
    public Event {
        Checks.notNull("event.id", id);
        Checks.notNull("event.hlc", hlc);
        Checks.notNull("event.cause", cause);
        Checks.notNull("event.body", body);
    }
}
