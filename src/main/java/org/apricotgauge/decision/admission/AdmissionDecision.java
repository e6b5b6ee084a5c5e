package org.apricotgauge.decision.admission;

import java.util.List;

/** What becomes of a ticket that is offered to an {@link AdmissionQueue}. */
public sealed interface AdmissionDecision {

    /** It has a slot now; release it once. */
    record Admitted() implements AdmissionDecision {}

    /**
     * It waits.
     *
     * @param displaced tickets that lost their place to it; answer them at once
     */
    record Queued(List<Rejection> displaced) implements AdmissionDecision {
        /** Copies the list. */
        public Queued {
            displaced = List.copyOf(displaced);
        }
    }

    /**
     * It gets no place; answer it at once.
     *
     * @param rejection reason and Retry-After
     */
    record Rejected(Rejection rejection) implements AdmissionDecision {}
}
