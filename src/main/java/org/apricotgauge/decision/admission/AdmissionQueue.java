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
    private final FairQueue mWaiting;
    private final AdaptiveLimit mLimit;
    private final Pace mPace = new Pace();
    private final ServiceTimes mServiceTimes;
    private final Map<Long, Running> mRunning = new HashMap<>();

    /** Makes an empty queue. */
    public AdmissionQueue(AdmissionConfig config) {
        mConfig = Checks.notNull("config", config);
        mWaiting = new FairQueue(config.maxMembers(), config.initialServiceMicros());
        mLimit = new AdaptiveLimit(config.slots());
        mServiceTimes = new ServiceTimes(config.initialServiceMicros());
    }

    /**
     * Takes in a request, or refuses it if it can't be served before its deadline.
     *
     * @throws IllegalStateException if a ticket of this identifier waits or runs already
     */
    public synchronized Offer offer(Ticket ticket, long nowMillis) {
        if (mWaiting.contains(ticket) || mRunning.containsKey(ticket.id())) {
            throw new IllegalStateException("ticket offered twice: " + ticket);
        }
        mLimit.onTick(nowMillis);
        if (ticket.deadlineMillis() <= nowMillis) {
            return refused(ticket, RefusalReason.DEADLINE_TOO_SHORT, nowMillis);
        }
        if (mWaiting.size() == 0 && mRunning.size() < mLimit.get() && mPace.tryStart(nowMillis)) {
            run(mWaiting.startNow(ticket), nowMillis);
            return new Offer.Admitted();
        }
        boolean useful = isUseful(ticket, nowMillis + waitMillis(ticket, true, nowMillis));
        if (!mayWait(ticket, useful)) {
            return refused(ticket, RefusalReason.BUSY, nowMillis);
        }
        double neededMillis = waitMillis(ticket, useful, nowMillis) + allowanceMillis(ticket);
        if (nowMillis + neededMillis > ticket.deadlineMillis()) {
            return refused(ticket, RefusalReason.DEADLINE_TOO_SHORT, nowMillis);
        }
        if (!useful && !mayWaitLate(ticket)) {
            return refused(ticket, RefusalReason.BUSY, nowMillis);
        }
        return enqueue(ticket, useful, nowMillis);
    }

    private static boolean mayWait(Ticket ticket, boolean useful) {
        return switch (ticket.patience()) {
            case NO_WAIT -> false;
            case WHILE_USEFUL -> useful;
            case MAY_WAIT -> true;
        };
    }

    private Offer enqueue(Ticket ticket, boolean useful, long nowMillis) {
        if (mWaiting.size() < mConfig.maxQueued()) {
            mWaiting.add(ticket, useful);
            return new Offer.Queued(List.of());
        }
        Ticket victim = mWaiting.victimFor(ticket);
        if (victim == null) {
            return refused(ticket, RefusalReason.QUEUE_FULL, nowMillis);
        }
        mWaiting.remove(victim);
        mWaiting.add(ticket, useful);
        return new Offer.Queued(List.of(refusal(victim, RefusalReason.QUEUE_FULL, nowMillis)));
    }

    /**
     * Gives back the slot of an admitted ticket.
     *
     * @param serviceMicros time from the first byte to the target until its answer ended
     * @return tickets that got the slot, and tickets whose deadline came too near
     * @throws IllegalStateException if the ticket has no slot
     */
    public synchronized Changes release(
            Ticket ticket, Result result, long serviceMicros, long nowMillis) {
        boolean limitReached = mRunning.size() >= mLimit.get();
        Running running = mRunning.remove(ticket.id());
        if (running == null) {
            throw new IllegalStateException("ticket released that has no slot: " + ticket);
        }
        if (result == Result.UNSENT) {
            mPace.giveBack();
        }
        mWaiting.settle(running.charge(), serviceMicros);
        boolean batchDone = false;
        if (result == Result.ANSWERED) {
            batchDone = mServiceTimes.add(ticket.work(), serviceMicros);
            mWaiting.setMeanMicros(mServiceTimes.meanMicros());
        }
        if (mConfig.use() == AdmissionConfig.SlotUse.SHARED) {
            adaptLimit(running, result, limitReached, batchDone, nowMillis);
        }
        return fill(nowMillis);
    }

    private void adaptLimit(
            Running running,
            Result result,
            boolean limitReached,
            boolean batchDone,
            long nowMillis) {
        if (result == Result.SHED) {
            mLimit.onShed(running.admittedAtMillis(), nowMillis);
        } else if (result == Result.ANSWERED) {
            mLimit.onAnswered(limitReached, nowMillis);
            if (batchDone) {
                mLimit.onBatch(mServiceTimes.inflation(), nowMillis);
            }
        }
    }

    /**
     * Keeps the starts to a limit that the target has named.
     *
     * @param perSecond starts in a second, more than 0
     */
    public synchronized void limitStarts(double perSecond, long nowMillis) {
        mPace.limit(perSecond, nowMillis);
    }

    /** Keeps the starts to no limit any more; returns what may start now. */
    public synchronized Changes liftLimit(long nowMillis) {
        mPace.lift();
        return fill(nowMillis);
    }

    /** Returns whether a request could start but for the limit that the target has named. */
    public synchronized boolean isPaced(long nowMillis) {
        return !mPace.mayStart(nowMillis);
    }

    /** Takes out the waiting tickets that can't be served any more; answer them at once. */
    public synchronized Changes expire(long nowMillis) {
        mLimit.onTick(nowMillis);
        return fill(nowMillis);
    }

    /** Takes out a waiting ticket whose caller has gone; false if it doesn't wait. */
    public synchronized boolean cancel(Ticket ticket) {
        return mWaiting.remove(ticket);
    }

    /** Returns how many tickets wait. */
    public synchronized int queued() {
        return mWaiting.size();
    }

    /** Returns how many tickets have a slot. */
    public synchronized int inFlight() {
        return mRunning.size();
    }

    /** Returns how many slots are used at most, at present. */
    public synchronized int limit() {
        return mLimit.get();
    }

    /** Returns how many members are told apart at present. */
    public synchronized int members() {
        return mWaiting.flows();
    }

    private Changes fill(long nowMillis) {
        List<Ticket> admitted = new ArrayList<>();
        List<Refusal> refused = new ArrayList<>();
        dropLate(nowMillis, refused);
        while (mWaiting.size() > 0 && mRunning.size() < mLimit.get() && mPace.tryStart(nowMillis)) {
            FairQueue.Charge next = mWaiting.poll();
            run(next, nowMillis);
            admitted.add(next.ticket());
        }
        return new Changes(admitted, refused);
    }

    // A slot spent on a request whose caller stops waiting before the answer is a slot lost; under
    // overload, served in the order of arrival, that becomes every slot.
    private void dropLate(long nowMillis, List<Refusal> refused) {
        for (Ticket ticket : mWaiting.tickets()) {
            if (nowMillis + allowanceMillis(ticket) > ticket.deadlineMillis()) {
                mWaiting.remove(ticket);
                refused.add(refusal(ticket, RefusalReason.DEADLINE_PASSED, nowMillis));
            } else if (mWaiting.isUseful(ticket) && !isUseful(ticket, nowMillis)) {
                loseUse(ticket, refused, nowMillis);
            }
        }
    }

    private void loseUse(Ticket ticket, List<Refusal> refused, long nowMillis) {
        mWaiting.remove(ticket);
        if (ticket.patience() == Patience.WHILE_USEFUL || !mayWaitLate(ticket)) {
            refused.add(refusal(ticket, RefusalReason.BUSY, nowMillis));
        } else {
            mWaiting.add(ticket, false);
        }
    }

    // Behind a queue that newer work overtakes, what is late already would be held to its deadline
    // and refused then: on the heaviest day measured, requests of an eighth of the day's worth were
    // held so. It waits one round of the slots at the most.
    private boolean mayWaitLate(Ticket ticket) {
        return ticket.unblocks() || mWaiting.size() < mConfig.slots();
    }

    private boolean isUseful(Ticket ticket, double startMillis) {
        return startMillis + allowanceMillis(ticket) <= ticket.usefulUntilMillis();
    }

    private void run(FairQueue.Charge charge, long nowMillis) {
        mRunning.put(charge.ticket().id(), new Running(charge, nowMillis));
    }

    private Offer refused(Ticket ticket, RefusalReason reason, long nowMillis) {
        return new Offer.Refused(refusal(ticket, reason, nowMillis));
    }

    private Refusal refusal(Ticket ticket, RefusalReason reason, long nowMillis) {
        double waitMillis = waitMillis(ticket, false, nowMillis);
        return new Refusal(ticket, reason, (long) Math.ceil(Math.max(1, waitMillis)));
    }

    private double waitMillis(Ticket ticket, boolean useful, long nowMillis) {
        double starts = mWaiting.servicesAhead(ticket, useful);
        double slotMillis = starts * serviceMillis() / Math.max(1, mLimit.get());
        return Math.max(slotMillis, mPace.waitMillis(starts, nowMillis));
    }

    private double serviceMillis() {
        return mServiceTimes.meanMicros() / MICROS_PER_MILLI;
    }

    private double allowanceMillis(Ticket ticket) {
        return mServiceTimes.allowanceMicros(ticket.work()) / MICROS_PER_MILLI;
    }
}
