package org.apricotgauge.decision.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apricotgauge.model.Checks;

/**
 * The slots of one target and the bounded queue in front of them.
 *
 * <pre>{@code
 * AdmissionDecision decision = queue.offer(ticket, nowMillis);
 * // Admitted: start it.  Queued: wait, and answer the displaced.  Rejected: answer it at once.
 * QueueChanges changes = queue.release(ticket, RunResult.ANSWERED, serviceMicros, nowMillis);
 * // start changes.admitted(), answer changes.rejected()
 * }</pre>
 *
 * <p>Within a priority class, tickets that can still meet their soft deadline are served before
 * those that cannot. In the order of arrival, a busy target would make all of its callers late; in
 * this order it serves as many as possible in time, and the others queue for the remaining capacity
 * or try another target.
 *
 * <p>Every admitted ticket must be released exactly once. Call {@link #expire} about every 10 ms
 * while {@link #queued} is not zero. Times are readings of one monotonic clock in milliseconds.
 * Thread-safe by one lock for each target, held for O(log n) steps and never during I/O.
 */
public final class AdmissionQueue {

    private record Running(FairQueue.Charge charge, long admittedAtMillis) {}

    private static final double MICROS_PER_MILLI = 1_000;

    private final AdmissionConfig mConfig;
    private final FairQueue mQueue;
    private final AdaptiveConcurrencyLimit mConcurrencyLimit;
    private final StartRateLimiter mStartRateLimiter = new StartRateLimiter();
    private final ServiceTimes mServiceTimes;
    private final Map<Long, Running> mRunning = new HashMap<>();

    /** Creates an empty queue. */
    public AdmissionQueue(AdmissionConfig config) {
        mConfig = Checks.notNull("config", config);
        mQueue = new FairQueue(config.maxMembers(), config.initialServiceMicros());
        mConcurrencyLimit = new AdaptiveConcurrencyLimit(config.slots());
        mServiceTimes = new ServiceTimes(config.initialServiceMicros());
    }

    /**
     * Admits, queues or rejects a request.
     *
     * @throws IllegalStateException if a ticket of this identifier is already queued or running
     */
    public synchronized AdmissionDecision offer(Ticket ticket, long nowMillis) {
        if (mQueue.contains(ticket) || mRunning.containsKey(ticket.id())) {
            throw new IllegalStateException("ticket is already queued or running: " + ticket);
        }
        mConcurrencyLimit.onTick(nowMillis);
        if (ticket.deadlineMillis() <= nowMillis) {
            return reject(ticket, RejectionReason.DEADLINE_TOO_SHORT, nowMillis);
        }
        if (mQueue.size() == 0
                && mRunning.size() < mConcurrencyLimit.get()
                && mStartRateLimiter.tryStart(nowMillis)) {
            addRunning(mQueue.startWithoutQueueing(ticket), nowMillis);
            return new AdmissionDecision.Admitted();
        }
        boolean onTime = meetsSoftDeadline(ticket, nowMillis + waitMillis(ticket, true, nowMillis));
        if (!mayWait(ticket, onTime)) {
            return reject(ticket, RejectionReason.BUSY, nowMillis);
        }
        double expectedMillis = waitMillis(ticket, onTime, nowMillis) + upperServiceMillis(ticket);
        if (nowMillis + expectedMillis > ticket.deadlineMillis()) {
            return reject(ticket, RejectionReason.DEADLINE_TOO_SHORT, nowMillis);
        }
        if (!onTime && !mayWaitPastSoftDeadline(ticket)) {
            return reject(ticket, RejectionReason.BUSY, nowMillis);
        }
        return enqueue(ticket, onTime, nowMillis);
    }

    private static boolean mayWait(Ticket ticket, boolean onTime) {
        return switch (ticket.queueingPolicy()) {
            case NO_WAIT -> false;
            case WHILE_USEFUL -> onTime;
            case MAY_WAIT -> true;
        };
    }

    private AdmissionDecision enqueue(Ticket ticket, boolean onTime, long nowMillis) {
        if (mQueue.size() < mConfig.maxQueued()) {
            mQueue.add(ticket, onTime);
            return new AdmissionDecision.Queued(List.of());
        }
        Ticket victim = mQueue.victimFor(ticket);
        if (victim == null) {
            return reject(ticket, RejectionReason.QUEUE_FULL, nowMillis);
        }
        mQueue.remove(victim);
        mQueue.add(ticket, onTime);
        return new AdmissionDecision.Queued(
                List.of(rejection(victim, RejectionReason.QUEUE_FULL, nowMillis)));
    }

    /**
     * Releases the slot of an admitted ticket.
     *
     * @param serviceMicros time from the first byte sent to the target until the end of its answer,
     *     in microseconds
     * @return tickets that are admitted now, and queued tickets that can no longer be served in
     *     time
     * @throws IllegalStateException if the ticket has no slot
     */
    public synchronized QueueChanges release(
            Ticket ticket, RunResult result, long serviceMicros, long nowMillis) {
        boolean limitReached = mRunning.size() >= mConcurrencyLimit.get();
        Running running = mRunning.remove(ticket.id());
        if (running == null) {
            throw new IllegalStateException("released ticket has no slot: " + ticket);
        }
        if (result == RunResult.UNSENT) {
            mStartRateLimiter.returnToken();
        }
        mQueue.correctCharge(running.charge(), serviceMicros);
        boolean batchCompleted = false;
        if (result == RunResult.ANSWERED) {
            batchCompleted = mServiceTimes.add(ticket.workKind(), serviceMicros);
            mQueue.setMeanServiceMicros(mServiceTimes.meanMicros());
        }
        if (mConfig.slotUse() == AdmissionConfig.SlotUse.SHARED) {
            adaptLimit(running, result, limitReached, batchCompleted, nowMillis);
        }
        return startQueued(nowMillis);
    }

    private void adaptLimit(
            Running running,
            RunResult result,
            boolean limitReached,
            boolean batchCompleted,
            long nowMillis) {
        if (result == RunResult.SHED) {
            mConcurrencyLimit.onShed(running.admittedAtMillis(), nowMillis);
        } else if (result == RunResult.ANSWERED) {
            mConcurrencyLimit.onAnswered(limitReached, nowMillis);
            if (batchCompleted) {
                mConcurrencyLimit.onBatch(mServiceTimes.inflation(), nowMillis);
            }
        }
    }

    /**
     * Limits the rate of starts, as requested by the target.
     *
     * @param perSecond starts per second, greater than 0
     */
    public synchronized void setStartLimit(double perSecond, long nowMillis) {
        mStartRateLimiter.setLimit(perSecond, nowMillis);
    }

    /** Removes the limit on the rate of starts; returns the tickets that may start now. */
    public synchronized QueueChanges removeStartLimit(long nowMillis) {
        mStartRateLimiter.removeLimit();
        return startQueued(nowMillis);
    }

    /** Returns whether the limit on the rate of starts currently prevents a start. */
    public synchronized boolean isRateLimited(long nowMillis) {
        return !mStartRateLimiter.mayStart(nowMillis);
    }

    /**
     * Rejects queued tickets that can no longer be served in time, and admits others if possible.
     */
    public synchronized QueueChanges expire(long nowMillis) {
        mConcurrencyLimit.onTick(nowMillis);
        return startQueued(nowMillis);
    }

    /** Removes a queued ticket whose caller has disconnected; false if it is not queued. */
    public synchronized boolean cancel(Ticket ticket) {
        return mQueue.remove(ticket);
    }

    /** Returns the number of queued tickets. */
    public synchronized int queued() {
        return mQueue.size();
    }

    /**
     * Returns the number of slots that are free now; 0 while a ticket is queued, which would be
     * admitted first, or while the limit on the rate of starts prevents a start.
     */
    public synchronized int freeSlots(long nowMillis) {
        mConcurrencyLimit.onTick(nowMillis);
        if (mQueue.size() > 0 || !mStartRateLimiter.mayStart(nowMillis)) {
            return 0;
        }
        return Math.max(0, mConcurrencyLimit.get() - mRunning.size());
    }

    /** Returns the number of tickets that have a slot. */
    public synchronized int inFlight() {
        return mRunning.size();
    }

    /** Returns the current limit on the number of slots in use. */
    public synchronized int concurrencyLimit() {
        return mConcurrencyLimit.get();
    }

    /** Returns the number of members and shared queues that are tracked currently. */
    public synchronized int memberCount() {
        return mQueue.flowCount();
    }

    private QueueChanges startQueued(long nowMillis) {
        List<Ticket> admitted = new ArrayList<>();
        List<Rejection> rejected = new ArrayList<>();
        rejectLate(nowMillis, rejected);
        while (mQueue.size() > 0
                && mRunning.size() < mConcurrencyLimit.get()
                && mStartRateLimiter.tryStart(nowMillis)) {
            FairQueue.Charge next = mQueue.poll();
            addRunning(next, nowMillis);
            admitted.add(next.ticket());
        }
        return new QueueChanges(admitted, rejected);
    }

    // A slot spent on a request whose caller times out before the answer is wasted. Under overload,
    // with service in the order of arrival, that would become every slot.
    private void rejectLate(long nowMillis, List<Rejection> rejected) {
        for (Ticket ticket : mQueue.tickets()) {
            if (nowMillis + upperServiceMillis(ticket) > ticket.deadlineMillis()) {
                mQueue.remove(ticket);
                rejected.add(rejection(ticket, RejectionReason.DEADLINE_PASSED, nowMillis));
            } else if (mQueue.isOnTime(ticket) && !meetsSoftDeadline(ticket, nowMillis)) {
                onSoftDeadlineMissed(ticket, rejected, nowMillis);
            }
        }
    }

    private void onSoftDeadlineMissed(Ticket ticket, List<Rejection> rejected, long nowMillis) {
        mQueue.remove(ticket);
        if (ticket.queueingPolicy() == QueueingPolicy.WHILE_USEFUL
                || !mayWaitPastSoftDeadline(ticket)) {
            rejected.add(rejection(ticket, RejectionReason.BUSY, nowMillis));
        } else {
            mQueue.add(ticket, false);
        }
    }

    // Newer requests overtake a late one, so behind a longer queue it would be kept until its
    // deadline and rejected then. On the heaviest day measured, this happened to requests worth an
    // eighth of the day's value. So a late request queues for one round of the slots at most.
    private boolean mayWaitPastSoftDeadline(Ticket ticket) {
        return ticket.nestedCall() || mQueue.size() < mConfig.slots();
    }

    private boolean meetsSoftDeadline(Ticket ticket, double startMillis) {
        return startMillis + upperServiceMillis(ticket) <= ticket.softDeadlineMillis();
    }

    private void addRunning(FairQueue.Charge charge, long nowMillis) {
        mRunning.put(charge.ticket().id(), new Running(charge, nowMillis));
    }

    private AdmissionDecision reject(Ticket ticket, RejectionReason reason, long nowMillis) {
        return new AdmissionDecision.Rejected(rejection(ticket, reason, nowMillis));
    }

    private Rejection rejection(Ticket ticket, RejectionReason reason, long nowMillis) {
        double waitMillis = waitMillis(ticket, false, nowMillis);
        return new Rejection(ticket, reason, (long) Math.ceil(Math.max(1, waitMillis)));
    }

    private double waitMillis(Ticket ticket, boolean onTime, long nowMillis) {
        double starts = mQueue.servicesAhead(ticket, onTime);
        double slotMillis = starts * meanServiceMillis() / Math.max(1, mConcurrencyLimit.get());
        return Math.max(slotMillis, mStartRateLimiter.waitMillis(starts, nowMillis));
    }

    private double meanServiceMillis() {
        return mServiceTimes.meanMicros() / MICROS_PER_MILLI;
    }

    private double upperServiceMillis(Ticket ticket) {
        return mServiceTimes.upperEstimateMicros(ticket.workKind()) / MICROS_PER_MILLI;
    }
}
