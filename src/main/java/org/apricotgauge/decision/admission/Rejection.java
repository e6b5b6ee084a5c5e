package org.apricotgauge.decision.admission;

import org.apricotgauge.model.Checks;

/**
 * A ticket that is out of the queue without a slot; its caller is answered at once.
 *
 * @param ticket the ticket
 * @param reason why
 * @param retryAfterMillis when a new request of the member is likely to be served
 */
public record Rejection(Ticket ticket, RejectionReason reason, long retryAfterMillis) {

    /** Checks the parts. */
    public Rejection {
        Checks.notNull("ticket", ticket);
        Checks.notNull("reason", reason);
        Checks.inRange("retryAfterMillis", retryAfterMillis, 0, Long.MAX_VALUE);
    }
}
