package org.apricotgauge.peer.hop;

import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.http.client.UpstreamRequest;
import org.apricotgauge.model.Checks;

/**
 * An attempt to be sent to a guard.
 *
 * @param attempt the attempt
 * @param request the request to the guard, with the headers of the hop
 * @param hasBody whether the request may have a body; its framing says so on a connection
 */
public record HopAttempt(Attempt attempt, UpstreamRequest request, boolean hasBody) {

    /** Validates the components. */
    public HopAttempt {
        Checks.notNull("attempt", attempt);
        Checks.notNull("request", request);
    }
}
