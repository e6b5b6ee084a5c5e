package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/** What led to an event, so far as the node that recorded it knows. */
public sealed interface Cause {

    /** Returns that nothing outside the node is known to have led to the event. */
    static Cause none() {
        return None.INSTANCE;
    }

    /** No cause is known. */
    enum None implements Cause {
        /** The only one. */
        INSTANCE
    }

    /**
     * Another event, of this node or another one.
     *
     * @param id which event
     */
    record ByEvent(EventId id) implements Cause {
        /** Checks the part. */
        public ByEvent {
            Checks.notNull("cause.event", id);
        }
    }

    /**
     * A caller's request.
     *
     * @param requestId id of the request
     */
    record ByRequest(String requestId) implements Cause {
        /** Checks the part. */
        public ByRequest {
            requestId = EventText.bounded("cause.request", requestId);
        }
    }
}
