package org.apricotgauge.decision.admission;

import java.util.List;

/** The decision on a ticket that is offered to an {@link AdmissionQueue}. */
public sealed interface AdmissionDecision {

    /** The ticket has a slot now; release it exactly once. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The ticket is queued.
     *
     * @param displaced tickets that were removed from the full queue in its favor; answer them at
     *     once
     */
    record Queued(List<Rejection> displaced) implements AdmissionDecision {
        /** Copies the list. */
        public Queued {
            displaced = List.copyOf(displaced);
        }
    }

    /**
     * The ticket is rejected; answer it at once.
     *
     * @param rejection the reason and the value of Retry-After
     */
    record Rejected(Rejection rejection) implements AdmissionDecision {}
}
