package org.apricotgauge.decision.admission;

import java.util.List;

/** What becomes of a ticket that is offered to an {@link AdmissionQueue}. */
public sealed interface Offer {

    /** It has a slot now; release it once. */
    record Admitted() implements Offer {}

    /**
     * It waits.
     *
     * @param displaced tickets that lost their place to it; answer them at once
     */
    record Queued(List<Refusal> displaced) implements Offer {
        /** Copies the list. */
        public Queued {
            displaced = List.copyOf(displaced);
        }
    }

    /**
     * It gets no place; answer it at once.
     *
     * @param refusal reason and Retry-After
     */
    record Refused(Refusal refusal) implements Offer {}
}
