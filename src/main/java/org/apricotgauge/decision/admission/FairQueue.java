package org.apricotgauge.decision.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Queued tickets in the order of start-time fair queueing by member, with a bounded lead for urgent
 * requests.
 *
 * <p>A member's virtual time grows by the service that it receives, divided by its weight, and the
 * member with the least virtual time is served next (Goyal et al., SIGCOMM 1996). A flow whose most
 * urgent ticket is of a higher class is ordered as if it had been served a few requests less. This
 * lead is constant, so it shifts the order but not the shares: a member that sends only urgent
 * requests still gets its share and no more. Each operation takes O(log n) in members and tickets.
 */
final class FairQueue {

    /**
     * The estimated service time charged for a running ticket, until the actual one is known.
     *
     * @param ticket the running ticket
     * @param flow the flow that was charged
     * @param chargedMicros the charged estimate, in microseconds
     */
    record Charge(Ticket ticket, Flow flow, double chargedMicros) {}

    private record QueuedTicket(Ticket ticket, Flow.SortKey sortKey, Flow flow) {}

    /** Lead of a flow by its most urgent class, in mean service times. */
    private static final double[] LEAD_SERVICES = {16, 8, 2, 0, 0};

    private static final int SHARED_FLOWS = 16;
    private static final Comparator<Flow> BY_VIRTUAL_TIME =
            Comparator.comparingDouble(Flow::virtualTimeMicros).thenComparingLong(Flow::sequence);
    private static final Comparator<Flow> BY_BACKLOG =
            Comparator.comparingDouble(Flow::backlogPerWeight).thenComparingLong(Flow::sequence);
    private static final Comparator<Ticket> BY_DEADLINE =
            Comparator.comparingLong(Ticket::deadlineMillis).thenComparingLong(Ticket::id);

    private final int mMaxMembers;
    private final Map<String, Flow> mFlows = new HashMap<>();
    private final List<TreeSet<Flow.SortKey>> mSortKeysByClass = Flow.listPerClass(TreeSet::new);
    private final Map<Long, QueuedTicket> mQueuedById = new HashMap<>();
    private final Map<Long, QueuedTicket> mQueuedBySequence = new HashMap<>();
    private final Map<Flow, Double> mFlowOrderMicros = new HashMap<>();
    private final TreeSet<Flow> mFlowOrder =
            new TreeSet<>(
                    Comparator.<Flow>comparingDouble(mFlowOrderMicros::get)
                            .thenComparingLong(Flow::sequence));
    private final TreeSet<Flow> mFlowsByBacklog = new TreeSet<>(BY_BACKLOG);
    private final TreeSet<Flow> mIdleFlows = new TreeSet<>(BY_VIRTUAL_TIME);
    private final List<TreeSet<Ticket>> mTicketsByDeadline =
            Flow.listPerClass(() -> new TreeSet<>(BY_DEADLINE));
    private double mVirtualTimeMicros;
    private double mMeanServiceMicros;
    private long mActiveWeight;
    private long mNextSequence;

    FairQueue(int maxMembers, double meanServiceMicros) {
        mMaxMembers = maxMembers;
        mMeanServiceMicros = meanServiceMicros;
    }

    void setMeanServiceMicros(double meanServiceMicros) {
        mMeanServiceMicros = meanServiceMicros;
    }

    int size() {
        return mQueuedById.size();
    }

    int flowCount() {
        return mFlows.size();
    }

    boolean contains(Ticket ticket) {
        return mQueuedById.containsKey(ticket.id());
    }

    /**
     * Adds a ticket.
     *
     * @param onTime whether the ticket is expected to finish by its soft deadline; such tickets are
     *     served before the others of their class
     */
    void add(Ticket ticket, boolean onTime) {
        Flow flow = flowOf(ticket);
        long sequence = mNextSequence++;
        QueuedTicket queued = new QueuedTicket(ticket, sortKeyOf(ticket, onTime, sequence), flow);
        mSortKeysByClass.get(ticket.priority().ordinal()).add(queued.sortKey());
        removeFromOrder(flow);
        if (flow.queued() == 0) {
            flow.raiseVirtualTime(mVirtualTimeMicros);
        }
        flow.add(queued.sortKey(), ticket);
        addToOrder(flow);
        mQueuedById.put(ticket.id(), queued);
        mQueuedBySequence.put(sequence, queued);
        mTicketsByDeadline.get(ticket.priority().ordinal()).add(ticket);
    }

    private static Flow.SortKey sortKeyOf(Ticket ticket, boolean onTime, long sequence) {
        long dueMillis = onTime ? ticket.softDeadlineMillis() : ticket.deadlineMillis();
        return new Flow.SortKey(ticket.nestedCall(), onTime, dueMillis, sequence);
    }

    boolean remove(Ticket ticket) {
        QueuedTicket queued = mQueuedById.get(ticket.id());
        if (queued == null) {
            return false;
        }
        removeQueued(queued);
        return true;
    }

    /** Returns whether a queued ticket is ordered as one that meets its soft deadline. */
    boolean isOnTime(Ticket ticket) {
        return mQueuedById.get(ticket.id()).sortKey().onTime();
    }

    /** Removes the ticket to serve next and charges its member; null if none is queued. */
    Charge poll() {
        if (mFlowOrder.isEmpty()) {
            return null;
        }
        Flow flow = mFlowOrder.first();
        mVirtualTimeMicros = Math.max(mVirtualTimeMicros, mFlowOrderMicros.get(flow));
        QueuedTicket next = mQueuedBySequence.get(flow.pickSequence());
        removeQueued(next);
        Charge charge = charge(flow, next.ticket());
        evictIdleFlows();
        return charge;
    }

    /** Charges the member of a ticket that starts without being queued. */
    Charge startWithoutQueueing(Ticket ticket) {
        Flow flow = flowOf(ticket);
        removeFromOrder(flow);
        flow.raiseVirtualTime(mVirtualTimeMicros);
        addToOrder(flow);
        // Otherwise service received while no ticket was queued would count against its member
        // later.
        mVirtualTimeMicros = flow.virtualTimeMicros();
        return charge(flow, ticket);
    }

    /** Corrects a charge once the actual service time is known. */
    void correctCharge(Charge charge, double serviceMicros) {
        Flow flow = charge.flow();
        removeFromOrder(flow);
        flow.onReleased();
        flow.charge(serviceMicros - charge.chargedMicros());
        addToOrder(flow);
        evictIdleFlows();
    }

    /** Returns the queued tickets, more urgent classes first, each class by earliest deadline. */
    List<Ticket> tickets() {
        List<Ticket> tickets = new ArrayList<>(mQueuedById.size());
        mTicketsByDeadline.forEach(tickets::addAll);
        return tickets;
    }

    /**
     * Returns the ticket to displace from a full queue in favor of a new one, or null if the new
     * one is to be rejected. Candidates are the last ticket of the least urgent class of the member
     * with the most queued tickets per weight, and that of the new ticket's own member.
     */
    Ticket victimFor(Ticket newTicket) {
        Flow own = mFlows.get(flowName(newTicket));
        double ownBacklog = own == null ? 0 : own.backlogPerWeight();
        double ownNext = ownBacklog + 1.0 / newTicket.member().weight();
        Flow longest = mFlowsByBacklog.last();
        Ticket last = mQueuedBySequence.get(longest.lastSequence()).ticket();
        boolean lessUrgent = last.priority().compareTo(newTicket.priority()) > 0;
        if (longest != own && longest.backlogPerWeight() > ownNext) {
            return last;
        }
        if (lessUrgent && longest.backlogPerWeight() >= ownBacklog) {
            return last;
        }
        return ownVictim(own, newTicket);
    }

    private Ticket ownVictim(Flow own, Ticket newTicket) {
        if (own == null || own.queued() == 0) {
            return null;
        }
        Ticket last = mQueuedBySequence.get(own.lastSequence()).ticket();
        return last.priority().compareTo(newTicket.priority()) > 0 ? last : null;
    }

    /**
     * Estimates how many tickets start up to and including a new one.
     *
     * @param onTime whether the new ticket would be ordered as one that meets its soft deadline
     */
    double servicesAhead(Ticket newTicket, boolean onTime) {
        Flow own = mFlows.get(flowName(newTicket));
        boolean active = own != null && own.queued() > 0;
        int ownAhead = own == null ? 0 : own.queued(newTicket.priority());
        int weight = newTicket.member().weight();
        double allWeight = active ? mActiveWeight : mActiveWeight + weight;
        double byShare = (ownAhead + 1) * allWeight / weight;
        // A member that has used up its lead waits for its share, however urgent its requests are.
        double lead = LEAD_SERVICES[newTicket.priority().ordinal()] * mMeanServiceMicros;
        if (active && own.virtualTimeMicros() - mVirtualTimeMicros > lead) {
            return byShare;
        }
        return Math.min(byShare, queuedBefore(newTicket, onTime) + 1.0);
    }

    private int queuedBefore(Ticket newTicket, boolean onTime) {
        int ownClass = newTicket.priority().ordinal();
        Flow.SortKey sortKey = sortKeyOf(newTicket, onTime, mNextSequence);
        int count = mSortKeysByClass.get(ownClass).headSet(sortKey).size();
        for (int i = 0; i < ownClass; i++) {
            count += mSortKeysByClass.get(i).size();
        }
        return count;
    }

    private void removeQueued(QueuedTicket queued) {
        Flow flow = queued.flow();
        removeFromOrder(flow);
        flow.remove(queued.sortKey(), queued.ticket());
        mSortKeysByClass.get(queued.ticket().priority().ordinal()).remove(queued.sortKey());
        addToOrder(flow);
        mQueuedById.remove(queued.ticket().id());
        mQueuedBySequence.remove(queued.sortKey().sequence());
        mTicketsByDeadline.get(queued.ticket().priority().ordinal()).remove(queued.ticket());
    }

    private Charge charge(Flow flow, Ticket ticket) {
        removeFromOrder(flow);
        flow.onDispatched();
        flow.charge(mMeanServiceMicros);
        addToOrder(flow);
        return new Charge(ticket, flow, mMeanServiceMicros);
    }

    private Flow flowOf(Ticket ticket) {
        Flow flow =
                mFlows.computeIfAbsent(
                        flowName(ticket),
                        name -> new Flow(name, mNextSequence++, mVirtualTimeMicros));
        if (flow.weight() != ticket.member().weight()) {
            removeFromOrder(flow);
            flow.setWeight(ticket.member().weight());
            addToOrder(flow);
        }
        return flow;
    }

    // Without a bound, a flood of invented member names would exhaust the memory of the node.
    // Members beyond the bound share a few flows: they are limited against the others, but not
    // among themselves.
    private String flowName(Ticket ticket) {
        String id = ticket.member().id();
        if (mFlows.containsKey(id) || mFlows.size() < mMaxMembers) {
            return id;
        }
        return "#" + Math.floorMod(id.hashCode(), SHARED_FLOWS);
    }

    private void removeFromOrder(Flow flow) {
        mIdleFlows.remove(flow);
        if (flow.queued() == 0) {
            return;
        }
        mFlowOrder.remove(flow);
        mFlowOrderMicros.remove(flow);
        mFlowsByBacklog.remove(flow);
        mActiveWeight -= flow.weight();
    }

    private void addToOrder(Flow flow) {
        if (flow.isIdle()) {
            mIdleFlows.add(flow);
        }
        if (flow.queued() == 0) {
            return;
        }
        double lead = LEAD_SERVICES[flow.mostUrgent().ordinal()] * mMeanServiceMicros;
        mFlowOrderMicros.put(flow, flow.virtualTimeMicros() - lead);
        mFlowOrder.add(flow);
        mFlowsByBacklog.add(flow);
        mActiveWeight += flow.weight();
    }

    // An idle flow whose virtual time the queue has passed is equivalent to a new one.
    private void evictIdleFlows() {
        while (!mIdleFlows.isEmpty()
                && mIdleFlows.first().virtualTimeMicros() <= mVirtualTimeMicros) {
            mFlows.remove(mIdleFlows.pollFirst().name());
        }
    }
}
