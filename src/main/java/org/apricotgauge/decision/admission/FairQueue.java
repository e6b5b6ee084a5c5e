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
     * @param micros the estimate that was charged
     */
    record Charge(Ticket ticket, Flow flow, double micros) {}

    private record Waiting(Ticket ticket, Flow.Place place, Flow flow) {}

    /** Services that a member's most urgent class is ahead of its account, by class. */
    private static final double[] LEAD_SERVICES = {16, 8, 2, 0, 0};

    private static final int SHARED_FLOWS = 16;
    private static final Comparator<Flow> BY_SERVED =
            Comparator.comparingDouble(Flow::servedMicros).thenComparingLong(Flow::sequence);
    private static final Comparator<Flow> BY_BACKLOG =
            Comparator.comparingDouble(Flow::backlog).thenComparingLong(Flow::sequence);
    private static final Comparator<Ticket> BY_DEADLINE =
            Comparator.comparingLong(Ticket::deadlineMillis).thenComparingLong(Ticket::id);

    private final int mMaxMembers;
    private final Map<String, Flow> mFlows = new HashMap<>();
    private final List<TreeSet<Flow.Place>> mPlaces = Flow.eachClass(TreeSet::new);
    private final Map<Long, Waiting> mTickets = new HashMap<>();
    private final Map<Long, Waiting> mBySequence = new HashMap<>();
    private final Map<Flow, Double> mKeys = new HashMap<>();
    private final TreeSet<Flow> mOrder =
            new TreeSet<>(
                    Comparator.<Flow>comparingDouble(mKeys::get).thenComparingLong(Flow::sequence));
    private final TreeSet<Flow> mByBacklog = new TreeSet<>(BY_BACKLOG);
    private final TreeSet<Flow> mIdle = new TreeSet<>(BY_SERVED);
    private final List<TreeSet<Ticket>> mByDeadline =
            Flow.eachClass(() -> new TreeSet<>(BY_DEADLINE));
    private double mVirtualMicros;
    private double mMeanMicros;
    private long mActiveWeight;
    private long mNextSequence;

    FairQueue(int maxMembers, double meanMicros) {
        mMaxMembers = maxMembers;
        mMeanMicros = meanMicros;
    }

    void setMeanMicros(double meanMicros) {
        mMeanMicros = meanMicros;
    }

    int size() {
        return mTickets.size();
    }

    int flows() {
        return mFlows.size();
    }

    boolean contains(Ticket ticket) {
        return mTickets.containsKey(ticket.id());
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
        Waiting waiting = new Waiting(ticket, placeOf(ticket, useful, sequence), flow);
        mPlaces.get(ticket.priority().ordinal()).add(waiting.place());
        leaveOrder(flow);
        if (flow.queued() == 0) {
            flow.raiseServed(mVirtualMicros);
        }
        flow.add(waiting.place(), ticket);
        enterOrder(flow);
        mTickets.put(ticket.id(), waiting);
        mBySequence.put(sequence, waiting);
        mByDeadline.get(ticket.priority().ordinal()).add(ticket);
    }

    private static Flow.Place placeOf(Ticket ticket, boolean useful, long sequence) {
        long dueMillis = useful ? ticket.usefulUntilMillis() : ticket.deadlineMillis();
        return new Flow.Place(ticket.unblocks(), useful, dueMillis, sequence);
    }

    boolean remove(Ticket ticket) {
        Waiting waiting = mTickets.get(ticket.id());
        if (waiting == null) {
            return false;
        }
        take(waiting);
        return true;
    }

    /** Returns whether a waiting ticket has the place of one that can be of full use. */
    boolean isUseful(Ticket ticket) {
        return mTickets.get(ticket.id()).place().useful();
    }

    /** Takes out the ticket to serve next and charges its member; null if none waits. */
    Charge poll() {
        if (mOrder.isEmpty()) {
            return null;
        }
        Flow flow = mOrder.first();
        mVirtualMicros = Math.max(mVirtualMicros, mKeys.get(flow));
        Waiting waiting = mBySequence.get(flow.pickSequence());
        take(waiting);
        Charge charge = charge(flow, waiting.ticket());
        forgetIdle();
        return charge;
    }

    /** Charges the member of a ticket that needn't wait. */
    Charge startNow(Ticket ticket) {
        Flow flow = flowOf(ticket);
        leaveOrder(flow);
        flow.raiseServed(mVirtualMicros);
        enterOrder(flow);
        // Without this, service given while nobody waited would count against its member later.
        mVirtualMicros = flow.servedMicros();
        return charge(flow, ticket);
    }

    /** Corrects the charge once the true service time is known. */
    void settle(Charge charge, double servedMicros) {
        Flow flow = charge.flow();
        leaveOrder(flow);
        flow.onReleased();
        flow.charge(servedMicros - charge.micros());
        enterOrder(flow);
        forgetIdle();
    }

    /** Returns the waiting tickets, the more urgent classes first, in the order of deadlines. */
    List<Ticket> tickets() {
        List<Ticket> tickets = new ArrayList<>(mTickets.size());
        mByDeadline.forEach(tickets::addAll);
        return tickets;
    }

    /**
     * Returns the ticket that loses its place to the newcomer, or null if the newcomer has no
     * better claim: the newest and least urgent of the member with the most waiting per weight.
     */
    Ticket victimFor(Ticket newcomer) {
        Flow own = mFlows.get(flowName(newcomer));
        double ownBacklog = own == null ? 0 : own.backlog();
        double ownNext = ownBacklog + 1.0 / newcomer.member().weight();
        Flow longest = mByBacklog.last();
        Ticket last = mBySequence.get(longest.lastSequence()).ticket();
        boolean lessUrgent = last.priority().compareTo(newcomer.priority()) > 0;
        if (longest != own && longest.backlog() > ownNext) {
            return last;
        }
        if (lessUrgent && longest.backlog() >= ownBacklog) {
            return last;
        }
        return ownVictim(own, newcomer);
    }

    private Ticket ownVictim(Flow own, Ticket newcomer) {
        if (own == null || own.queued() == 0) {
            return null;
        }
        Ticket last = mBySequence.get(own.lastSequence()).ticket();
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
        double lead = LEAD_SERVICES[newcomer.priority().ordinal()] * mMeanMicros;
        if (active && own.servedMicros() - mVirtualMicros > lead) {
            return byShare;
        }
        return Math.min(byShare, queuedBefore(newcomer, useful) + 1.0);
    }

    private int queuedBefore(Ticket newcomer, boolean useful) {
        int own = newcomer.priority().ordinal();
        Flow.Place place = placeOf(newcomer, useful, mNextSequence);
        int count = mPlaces.get(own).headSet(place).size();
        for (int i = 0; i < own; i++) {
            count += mPlaces.get(i).size();
        }
        return count;
    }

    private void take(Waiting waiting) {
        Flow flow = waiting.flow();
        leaveOrder(flow);
        flow.remove(waiting.place(), waiting.ticket());
        mPlaces.get(waiting.ticket().priority().ordinal()).remove(waiting.place());
        enterOrder(flow);
        mTickets.remove(waiting.ticket().id());
        mBySequence.remove(waiting.place().sequence());
        mByDeadline.get(waiting.ticket().priority().ordinal()).remove(waiting.ticket());
    }

    private Charge charge(Flow flow, Ticket ticket) {
        leaveOrder(flow);
        flow.onDispatched();
        flow.charge(mMeanMicros);
        enterOrder(flow);
        return new Charge(ticket, flow, mMeanMicros);
    }

    private Flow flowOf(Ticket ticket) {
        Flow flow =
                mFlows.computeIfAbsent(
                        flowName(ticket), name -> new Flow(name, mNextSequence++, mVirtualMicros));
        if (flow.weight() != ticket.member().weight()) {
            leaveOrder(flow);
            flow.setWeight(ticket.member().weight());
            enterOrder(flow);
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

    private void leaveOrder(Flow flow) {
        mIdle.remove(flow);
        if (flow.queued() == 0) {
            return;
        }
        mOrder.remove(flow);
        mKeys.remove(flow);
        mByBacklog.remove(flow);
        mActiveWeight -= flow.weight();
    }

    private void enterOrder(Flow flow) {
        if (flow.isIdle()) {
            mIdle.add(flow);
        }
        if (flow.queued() == 0) {
            return;
        }
        double lead = LEAD_SERVICES[flow.mostUrgent().ordinal()] * mMeanMicros;
        mKeys.put(flow, flow.servedMicros() - lead);
        mOrder.add(flow);
        mByBacklog.add(flow);
        mActiveWeight += flow.weight();
    }

    // An idle member whose virtual time has been overtaken is like one never seen.
    private void forgetIdle() {
        while (!mIdle.isEmpty() && mIdle.first().servedMicros() <= mVirtualMicros) {
            mFlows.remove(mIdle.pollFirst().name());
        }
    }
}
