package org.apricotgauge.decision.admission;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;

/**
 * A request as an {@link AdmissionQueue} handles it. Times are readings of the clock that the queue
 * is called with, in milliseconds.
 *
 * @param id identifier, unique among the tickets of the queue
 * @param member customer whose share the request counts against
 * @param priority class of the request, by how long its caller can wait
 * @param workKind kind of work, such as the name of the route; service times are estimated for each
 * @param nestedCall whether a request that holds a slot elsewhere waits for this one
 * @param queueingPolicy whether the request may queue
 * @param softDeadlineMillis when the request must have ended to be of full value to its caller
 * @param deadlineMillis when the request must have ended to be of any value to its caller
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

    public Ticket {
        Checks.notNull("member", member);
        Checks.notNull("priority", priority);
        Checks.notNull("workKind", workKind);
        Checks.notNull("queueingPolicy", queueingPolicy);
    }

    /**
     * Creates a ticket that may queue until its deadline, without an earlier soft deadline. Its
     * kind of work is the name of its priority.
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
