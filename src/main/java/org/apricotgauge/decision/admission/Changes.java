package org.apricotgauge.decision.admission;

import java.util.List;

/**
 * Tickets that left the queue in one step.
 *
 * @param admitted have a slot now; start them
 * @param refused will get none; answer them at once
 */
public record Changes(List<Ticket> admitted, List<Refusal> refused) {
    /** No ticket left the queue. */
    public static final Changes NONE = new Changes(List.of(), List.of());

    /** Copies the lists. */
    public Changes {
        admitted = List.copyOf(admitted);
        refused = List.copyOf(refused);
    }
}
