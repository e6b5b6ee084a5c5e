package org.apricotgauge.decision.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apricotgauge.model.Checks;

/**
 * The slots of one target and the short queue before them.
 *
 * <pre>{@code
 * Offer offer = queue.offer(ticket, now);
 * // Admitted: start it.  Queued: wait, and answer the displaced.  Refused: answer it at once.
 * Changes changes = queue.release(ticket, Result.ANSWERED, serviceMicros, now);
 * // start changes.admitted(), answer changes.refused()
 * }</pre>
 *
 * <p>What can still end in time to be of full use goes before what cannot, class by class. Served
 * in the order of arrival, a busy target makes all of its callers late; so it makes as many as it
 * can not late, and the rest wait for what is left or go elsewhere.
 *
 * <p>Every admitted ticket must be released exactly once. Call {@link #expire} every 10 ms or so
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

    /** Makes an empty queue. */
    public AdmissionQueue(AdmissionConfig config) {
        mConfig = Checks.notNull("config", config);
        mQueue = new FairQueue(config.maxMembers(), config.initialServiceMicros());
        mConcurrencyLimit = new AdaptiveConcurrencyLimit(config.slots());
        mServiceTimes = new ServiceTimes(config.initialServiceMicros());
    }

    /**
     * Takes in a request, or refuses it if it can't be served before its deadline.
     *
     * @throws IllegalStateException if a ticket of this identifier waits or runs already
     */
    public synchronized AdmissionDecision offer(Ticket ticket, long nowMillis) {
        if (mQueue.contains(ticket) || mRunning.containsKey(ticket.id())) {
            throw new IllegalStateException("ticket offered twice: " + ticket);
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
        boolean useful = meetsSoftDeadline(ticket, nowMillis + waitMillis(ticket, true, nowMillis));
        if (!mayWait(ticket, useful)) {
            return reject(ticket, RejectionReason.BUSY, nowMillis);
        }
        double neededMillis = waitMillis(ticket, useful, nowMillis) + upperServiceMillis(ticket);
        if (nowMillis + neededMillis > ticket.deadlineMillis()) {
            return reject(ticket, RejectionReason.DEADLINE_TOO_SHORT, nowMillis);
        }
        if (!useful && !mayWaitPastSoftDeadline(ticket)) {
            return reject(ticket, RejectionReason.BUSY, nowMillis);
        }
        return enqueue(ticket, useful, nowMillis);
    }

    private static boolean mayWait(Ticket ticket, boolean useful) {
        return switch (ticket.queueingPolicy()) {
            case NO_WAIT -> false;
            case WHILE_USEFUL -> useful;
            case MAY_WAIT -> true;
        };
    }

    private AdmissionDecision enqueue(Ticket ticket, boolean useful, long nowMillis) {
        if (mQueue.size() < mConfig.maxQueued()) {
            mQueue.add(ticket, useful);
            return new AdmissionDecision.Queued(List.of());
        }
        Ticket victim = mQueue.victimFor(ticket);
        if (victim == null) {
            return reject(ticket, RejectionReason.QUEUE_FULL, nowMillis);
        }
        mQueue.remove(victim);
        mQueue.add(ticket, useful);
        return new AdmissionDecision.Queued(
                List.of(rejection(victim, RejectionReason.QUEUE_FULL, nowMillis)));
    }

    /**
     * Gives back the slot of an admitted ticket.
     *
     * @param serviceMicros time from the first byte to the target until its answer ended
     * @return tickets that got the slot, and tickets whose deadline came too near
     * @throws IllegalStateException if the ticket has no slot
     */
    public synchronized QueueChanges release(
            Ticket ticket, RunResult result, long serviceMicros, long nowMillis) {
        boolean limitReached = mRunning.size() >= mConcurrencyLimit.get();
        Running running = mRunning.remove(ticket.id());
        if (running == null) {
            throw new IllegalStateException("ticket released that has no slot: " + ticket);
        }
        if (result == RunResult.UNSENT) {
            mStartRateLimiter.returnToken();
        }
        mQueue.correctCharge(running.charge(), serviceMicros);
        boolean batchDone = false;
        if (result == RunResult.ANSWERED) {
            batchDone = mServiceTimes.add(ticket.workKind(), serviceMicros);
            mQueue.setMeanServiceMicros(mServiceTimes.meanMicros());
        }
        if (mConfig.slotUse() == AdmissionConfig.SlotUse.SHARED) {
            adaptLimit(running, result, limitReached, batchDone, nowMillis);
        }
        return startQueued(nowMillis);
    }

    private void adaptLimit(
            Running running,
            RunResult result,
            boolean limitReached,
            boolean batchDone,
            long nowMillis) {
        if (result == RunResult.SHED) {
            mConcurrencyLimit.onShed(running.admittedAtMillis(), nowMillis);
        } else if (result == RunResult.ANSWERED) {
            mConcurrencyLimit.onAnswered(limitReached, nowMillis);
            if (batchDone) {
                mConcurrencyLimit.onBatch(mServiceTimes.inflation(), nowMillis);
            }
        }
    }

    /**
     * Keeps the starts to a limit that the target has named.
     *
     * @param perSecond starts in a second, more than 0
     */
    public synchronized void setStartLimit(double perSecond, long nowMillis) {
        mStartRateLimiter.setLimit(perSecond, nowMillis);
    }

    /** Keeps the starts to no limit any more; returns what may start now. */
    public synchronized QueueChanges removeStartLimit(long nowMillis) {
        mStartRateLimiter.removeLimit();
        return startQueued(nowMillis);
    }

    /** Returns whether a request could start but for the limit that the target has named. */
    public synchronized boolean isRateLimited(long nowMillis) {
        return !mStartRateLimiter.mayStart(nowMillis);
    }

    /** Takes out the waiting tickets that can't be served any more; answer them at once. */
    public synchronized QueueChanges expire(long nowMillis) {
        mConcurrencyLimit.onTick(nowMillis);
        return startQueued(nowMillis);
    }

    /** Takes out a waiting ticket whose caller has gone; false if it doesn't wait. */
    public synchronized boolean cancel(Ticket ticket) {
        return mQueue.remove(ticket);
    }

    /** Returns how many tickets wait. */
    public synchronized int queued() {
        return mQueue.size();
    }

    /** Returns how many tickets have a slot. */
    public synchronized int inFlight() {
        return mRunning.size();
    }

    /** Returns how many slots are used at most, at present. */
    public synchronized int concurrencyLimit() {
        return mConcurrencyLimit.get();
    }

    /** Returns how many members are told apart at present. */
    public synchronized int memberCount() {
        return mQueue.flowCount();
    }

    private QueueChanges startQueued(long nowMillis) {
        List<Ticket> admitted = new ArrayList<>();
        List<Rejection> refused = new ArrayList<>();
        rejectLate(nowMillis, refused);
        while (mQueue.size() > 0
                && mRunning.size() < mConcurrencyLimit.get()
                && mStartRateLimiter.tryStart(nowMillis)) {
            FairQueue.Charge next = mQueue.poll();
            addRunning(next, nowMillis);
            admitted.add(next.ticket());
        }
        return new QueueChanges(admitted, refused);
    }

    // A slot spent on a request whose caller stops waiting before the answer is a slot lost; under
    // overload, served in the order of arrival, that becomes every slot.
    private void rejectLate(long nowMillis, List<Rejection> refused) {
        for (Ticket ticket : mQueue.tickets()) {
            if (nowMillis + upperServiceMillis(ticket) > ticket.deadlineMillis()) {
                mQueue.remove(ticket);
                refused.add(rejection(ticket, RejectionReason.DEADLINE_PASSED, nowMillis));
            } else if (mQueue.isOnTime(ticket) && !meetsSoftDeadline(ticket, nowMillis)) {
                onSoftDeadlineMissed(ticket, refused, nowMillis);
            }
        }
    }

    private void onSoftDeadlineMissed(Ticket ticket, List<Rejection> refused, long nowMillis) {
        mQueue.remove(ticket);
        if (ticket.queueingPolicy() == QueueingPolicy.WHILE_USEFUL
                || !mayWaitPastSoftDeadline(ticket)) {
            refused.add(rejection(ticket, RejectionReason.BUSY, nowMillis));
        } else {
            mQueue.add(ticket, false);
        }
    }

    // Behind a queue that newer work overtakes, what is late already would be held to its deadline
    // and refused then: on the heaviest day measured, requests of an eighth of the day's worth were
    // held so. It waits one round of the slots at the most.
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

    private double waitMillis(Ticket ticket, boolean useful, long nowMillis) {
        double starts = mQueue.servicesAhead(ticket, useful);
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
