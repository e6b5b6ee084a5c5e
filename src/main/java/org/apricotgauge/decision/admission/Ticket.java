package org.apricotgauge.decision.admission;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;

/**
 * One request's place in an {@link AdmissionQueue}.
 *
 * @param id unique among the tickets of the queue
 * @param member customer whose share it counts against
 * @param priority how long its caller can wait
 * @param workKind name of the kind of work it is, as its route's; service times are kept for each
 * @param nestedCall whether a request that holds a slot somewhere waits for it
 * @param queueingPolicy whether it may wait
 * @param softDeadlineMillis when it must have ended to be of full use to its caller, by the clock
 *     that the queue is told
 * @param deadlineMillis when it must have ended to be of any use
 */
public record Ticket(
        long id,
        Member member,
        Priority priority,
        String workKind,
        boolean nestedCall,
        QueueingPolicy queueingPolicy,
        long softDeadlineMillis,
        long deadlineMillis) {

    /** Checks the parts. */
    public Ticket {
        Checks.notNull("member", member);
        Checks.notNull("priority", priority);
        Checks.notNull("work", workKind);
        Checks.notNull("patience", queueingPolicy);
    }

    /**
     * Makes a ticket that may wait, whose kind of work is told apart by its priority alone, and
     * that is of full use until its deadline.
     */
    public Ticket(long id, Member member, Priority priority, long deadlineMillis) {
        this(
                id,
                member,
                priority,
                priority.name(),
                false,
                QueueingPolicy.MAY_WAIT,
                deadlineMillis,
                deadlineMillis);
    }
}
