package org.apricotgauge.decision.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Waiting tickets in the order of start-time fair queueing by member, with a bounded lead for
 * urgent work.
 *
 * <p>A member's virtual time grows by the service that it received over its weight, and the member
 * with the least goes next (Goyal et al., SIGCOMM 1996). A flow whose most urgent ticket is of a
 * higher class is ordered as if it had received a few services less. The lead is constant, so it
 * shifts the order but not the shares: a member that sends nothing but urgent work still gets its
 * share and no more. Each step takes O(log n) in members and tickets.
 */
final class FairQueue {

    /**
     * What a ticket in service was charged, until its true service time is known.
     *
     * @param ticket the ticket
     * @param flow whose account it is
     * @param chargedMicros the estimate that was charged
     */
    record Charge(Ticket ticket, Flow flow, double chargedMicros) {}

    private record QueuedTicket(Ticket ticket, Flow.SortKey sortKey, Flow flow) {}

    /** Services that a member's most urgent class is ahead of its account, by class. */
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

    FairQueue(int maxMembers, double meanMicros) {
        mMaxMembers = maxMembers;
        mMeanServiceMicros = meanMicros;
    }

    void setMeanServiceMicros(double meanMicros) {
        mMeanServiceMicros = meanMicros;
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
     * @param useful whether it can end in time to be of full use, which puts it before those of its
     *     class that cannot
     */
    void add(Ticket ticket, boolean useful) {
        Flow flow = flowOf(ticket);
        long sequence = mNextSequence++;
        QueuedTicket waiting = new QueuedTicket(ticket, sortKeyOf(ticket, useful, sequence), flow);
        mSortKeysByClass.get(ticket.priority().ordinal()).add(waiting.sortKey());
        removeFromOrder(flow);
        if (flow.queued() == 0) {
            flow.raiseVirtualTime(mVirtualTimeMicros);
        }
        flow.add(waiting.sortKey(), ticket);
        addToOrder(flow);
        mQueuedById.put(ticket.id(), waiting);
        mQueuedBySequence.put(sequence, waiting);
        mTicketsByDeadline.get(ticket.priority().ordinal()).add(ticket);
    }

    private static Flow.SortKey sortKeyOf(Ticket ticket, boolean useful, long sequence) {
        long dueMillis = useful ? ticket.softDeadlineMillis() : ticket.deadlineMillis();
        return new Flow.SortKey(ticket.nestedCall(), useful, dueMillis, sequence);
    }

    boolean remove(Ticket ticket) {
        QueuedTicket waiting = mQueuedById.get(ticket.id());
        if (waiting == null) {
            return false;
        }
        removeQueued(waiting);
        return true;
    }

    /** Returns whether a waiting ticket has the place of one that can be of full use. */
    boolean isOnTime(Ticket ticket) {
        return mQueuedById.get(ticket.id()).sortKey().onTime();
    }

    /** Takes out the ticket to serve next and charges its member; null if none waits. */
    Charge poll() {
        if (mFlowOrder.isEmpty()) {
            return null;
        }
        Flow flow = mFlowOrder.first();
        mVirtualTimeMicros = Math.max(mVirtualTimeMicros, mFlowOrderMicros.get(flow));
        QueuedTicket waiting = mQueuedBySequence.get(flow.pickSequence());
        removeQueued(waiting);
        Charge charge = charge(flow, waiting.ticket());
        evictIdleFlows();
        return charge;
    }

    /** Charges the member of a ticket that needn't wait. */
    Charge startWithoutQueueing(Ticket ticket) {
        Flow flow = flowOf(ticket);
        removeFromOrder(flow);
        flow.raiseVirtualTime(mVirtualTimeMicros);
        addToOrder(flow);
        // Without this, service given while nobody waited would count against its member later.
        mVirtualTimeMicros = flow.virtualTimeMicros();
        return charge(flow, ticket);
    }

    /** Corrects the charge once the true service time is known. */
    void correctCharge(Charge charge, double servedMicros) {
        Flow flow = charge.flow();
        removeFromOrder(flow);
        flow.onReleased();
        flow.charge(servedMicros - charge.chargedMicros());
        addToOrder(flow);
        evictIdleFlows();
    }

    /** Returns the waiting tickets, the more urgent classes first, in the order of deadlines. */
    List<Ticket> tickets() {
        List<Ticket> tickets = new ArrayList<>(mQueuedById.size());
        mTicketsByDeadline.forEach(tickets::addAll);
        return tickets;
    }

    /**
     * Returns the ticket that loses its place to the newcomer, or null if the newcomer has no
     * better claim: the newest and least urgent of the member with the most waiting per weight.
     */
    Ticket victimFor(Ticket newcomer) {
        Flow own = mFlows.get(flowName(newcomer));
        double ownBacklog = own == null ? 0 : own.backlogPerWeight();
        double ownNext = ownBacklog + 1.0 / newcomer.member().weight();
        Flow longest = mFlowsByBacklog.last();
        Ticket last = mQueuedBySequence.get(longest.lastSequence()).ticket();
        boolean lessUrgent = last.priority().compareTo(newcomer.priority()) > 0;
        if (longest != own && longest.backlogPerWeight() > ownNext) {
            return last;
        }
        if (lessUrgent && longest.backlogPerWeight() >= ownBacklog) {
            return last;
        }
        return ownVictim(own, newcomer);
    }

    private Ticket ownVictim(Flow own, Ticket newcomer) {
        if (own == null || own.queued() == 0) {
            return null;
        }
        Ticket last = mQueuedBySequence.get(own.lastSequence()).ticket();
        return last.priority().compareTo(newcomer.priority()) > 0 ? last : null;
    }

    /**
     * Estimates how many services start before that of a newcomer.
     *
     * @param useful whether it would have the place of one that can be of full use
     */
    double servicesAhead(Ticket newcomer, boolean useful) {
        Flow own = mFlows.get(flowName(newcomer));
        boolean active = own != null && own.queued() > 0;
        int ownAhead = own == null ? 0 : own.queued(newcomer.priority());
        int weight = newcomer.member().weight();
        double allWeight = active ? mActiveWeight : mActiveWeight + weight;
        double byShare = (ownAhead + 1) * allWeight / weight;
        // A member that has used up its lead waits for its share, however urgent its work.
        double lead = LEAD_SERVICES[newcomer.priority().ordinal()] * mMeanServiceMicros;
        if (active && own.virtualTimeMicros() - mVirtualTimeMicros > lead) {
            return byShare;
        }
        return Math.min(byShare, queuedBefore(newcomer, useful) + 1.0);
    }

    private int queuedBefore(Ticket newcomer, boolean useful) {
        int own = newcomer.priority().ordinal();
        Flow.SortKey place = sortKeyOf(newcomer, useful, mNextSequence);
        int count = mSortKeysByClass.get(own).headSet(place).size();
        for (int i = 0; i < own; i++) {
            count += mSortKeysByClass.get(i).size();
        }
        return count;
    }

    private void removeQueued(QueuedTicket waiting) {
        Flow flow = waiting.flow();
        removeFromOrder(flow);
        flow.remove(waiting.sortKey(), waiting.ticket());
        mSortKeysByClass.get(waiting.ticket().priority().ordinal()).remove(waiting.sortKey());
        addToOrder(flow);
        mQueuedById.remove(waiting.ticket().id());
        mQueuedBySequence.remove(waiting.sortKey().sequence());
        mTicketsByDeadline.get(waiting.ticket().priority().ordinal()).remove(waiting.ticket());
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

    // Without a bound, a flood of made-up member names would take the memory of the node. Members
    // beyond it share a few flows: still bounded against the others, though not among themselves.
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

    // An idle member whose virtual time has been overtaken is like one never seen.
    private void evictIdleFlows() {
        while (!mIdleFlows.isEmpty()
                && mIdleFlows.first().virtualTimeMicros() <= mVirtualTimeMicros) {
            mFlows.remove(mIdleFlows.pollFirst().name());
        }
    }
}
