package org.apricotgauge.event;

/**
 * Takes in the events of a node.
 *
 * <pre>{@code
 * EventId ejected = recorder.record(new TargetEjected("roster", "t7", "12 of 20 failed"));
 * recorder.record(new FloorReached(...), new Cause.ByEvent(ejected));
 * }</pre>
 */
@FunctionalInterface
public interface EventRecorder {

    /** Records what happened and what led to it, and returns the event's id. */
    EventId record(EventBody body, Cause cause);

    /** Records what happened without a known cause. */
    default EventId record(EventBody body) {
        return record(body, Cause.none());
    }
}
