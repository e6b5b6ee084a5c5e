package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * A request is kept from targets at the node, since it crashed those that ran it.
 *
 * @param fingerprint what makes requests the same one
 * @param request method, host and path, if the node has seen it; else empty
 * @param crashes how many targets ended under it
 * @param heldMillis how long it is kept from targets, in milliseconds
 */
public record RequestHeld(String fingerprint, String request, int crashes, long heldMillis)
        implements EventBody {

    /** Checks the parts. */
    public RequestHeld {
        Checks.id("fingerprint", fingerprint);
        request = EventText.bounded("request", request);
        Checks.inRange("crashes", crashes, 1, Integer.MAX_VALUE);
        Checks.inRange("heldMillis", heldMillis, 0, Long.MAX_VALUE);
    }
}
