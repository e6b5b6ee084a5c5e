package org.apricotgauge.decision.admission;

import java.util.List;

/**
 * Tickets that left the queue in one call.
 *
 * @param admitted tickets that have a slot now; start them
 * @param rejected tickets that are rejected; answer them at once
 */
public record QueueChanges(List<Ticket> admitted, List<Rejection> rejected) {
    /** No ticket left the queue. */
    public static final QueueChanges NONE = new QueueChanges(List.of(), List.of());

    /** Copies the lists. */
    public QueueChanges {
        admitted = List.copyOf(admitted);
        rejected = List.copyOf(rejected);
    }
}
