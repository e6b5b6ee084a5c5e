package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/**
 * A request that was kept from targets is let through again at the node.
 *
 * @param fingerprint what makes requests the same one
 * @param request method, host and path, if the node has seen it; else empty
 */
public record RequestReleased(String fingerprint, String request) implements EventBody {

    /** Checks the parts. */
    public RequestReleased {
        Checks.id("fingerprint", fingerprint);
        request = EventText.bounded("request", request);
    }
}
