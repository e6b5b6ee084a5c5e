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
 * @param work name of the kind of work it is, as its route's; service times are kept for each
 * @param deadlineMillis by the clock that the queue is told
 */
public record Ticket(long id, Member member, Priority priority, String work, long deadlineMillis) {

    /** Checks the parts. */
    public Ticket {
        Checks.notNull("member", member);
        Checks.notNull("priority", priority);
        Checks.notNull("work", work);
    }

    /** Makes a ticket whose kind of work is told apart by its priority alone. */
    public Ticket(long id, Member member, Priority priority, long deadlineMillis) {
        this(id, member, priority, priority.name(), deadlineMillis);
    }
}
