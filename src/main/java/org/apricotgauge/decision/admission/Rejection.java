package org.apricotgauge.decision.admission;

import org.apricotgauge.model.Checks;

/**
 * A ticket that is rejected without having had a slot; its caller must be answered at once.
 *
 * @param ticket the rejected ticket
 * @param reason why it is rejected
 * @param retryAfterMillis time in which a new request of the member is likely to be served, in
 *     milliseconds
 */
public record Rejection(Ticket ticket, RejectionReason reason, long retryAfterMillis) {

    public Rejection {
        Checks.notNull("ticket", ticket);
        Checks.notNull("reason", reason);
        Checks.inRange("retryAfterMillis", retryAfterMillis, 0, Long.MAX_VALUE);
    }
}
