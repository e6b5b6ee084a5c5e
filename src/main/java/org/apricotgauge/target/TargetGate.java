package org.apricotgauge.target;

import java.net.URI;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.admission.AdmissionDecision;
import org.apricotgauge.decision.admission.AdmissionQueue;
import org.apricotgauge.decision.admission.QueueChanges;
import org.apricotgauge.decision.admission.Rejection;
import org.apricotgauge.decision.admission.RunResult;
import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.decision.health.DegradationEstimate;
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.Hosts;
import org.apricotgauge.http.TargetNotice;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;

/**
 * The slots of one target with the requests that wait for them.
 *
 * <pre>{@code
 * gate.enter(ticket, work);   // work.admitted() or work.refused(...), now or later
 * gate.leave(ticket, Result.ANSWERED, serviceMicros);
 * }</pre>
 *
 * <p>Each entered work hears exactly one of its two methods, on the thread that freed the slot or
 * found the deadline too near. Thread-safe.
 */
final class TargetGate {
    private static final double PERMILLE = 1_000.0;

    private final Target mTarget;
    private final URI mUri;
    private final AdmissionQueue mQueue;
    private final TargetLimitTracker mLimit;
    private final Ticker mTicker;
    private final Runnable mOnQueued;
    private volatile boolean mReplaced;
    private volatile boolean mLeaving;
    private final HealthGate mHealth = new HealthGate();
    private final ConcurrentMap<Long, AdmissionListener> mWaiting = new ConcurrentHashMap<>();

    /** Something that needs a slot. */
    interface AdmissionListener {
        /** Called once the work has a slot; it must leave the gate once. */
        void admitted();

        /** Called once the work will get no slot. */
        void rejected(Rejection refusal);
    }

    TargetGate(
            Target target,
            AdmissionConfig.SlotUse use,
            Ticker ticker,
            LimitReporter limits,
            Runnable onQueued) {
        mOnQueued = onQueued;
        mTarget = target;
        mUri = Hosts.uriOf(new Address(target.host(), target.port()));
        mQueue = new AdmissionQueue(AdmissionConfig.forSlots(target.slots(), use));
        mLimit = new TargetLimitTracker(target, mQueue, limits);
        mTicker = ticker;
    }

    Target target() {
        return mTarget;
    }

    /** Returns the URI of the target's root. */
    URI uri() {
        return mUri;
    }

    /** Notes that another target has the address by now; this one is gone for good. */
    void markReplaced() {
        mReplaced = true;
    }

    boolean isReplaced() {
        return mReplaced;
    }

    /**
     * Takes what the target says of itself with an answer.
     *
     * @param ran whether the target ran the request
     * @param sentMillis when the request that it answers was sent
     */
    void handleNotice(TargetNotice notice, boolean ran, long sentMillis) {
        mLeaving |= notice.leaving();
        apply(mLimit.handleNotice(notice, ran, sentMillis, mTicker.millis()));
    }

    /** Takes a limit that an entry was told by the target. */
    void handleEntryLimit(StartLimit limit) {
        mLimit.handleEntryLimit(limit, mTicker.millis());
    }

    HealthGate health() {
        return mHealth;
    }

    /** Returns how likely the target is to be sick, as others are told. */
    DegradationEstimate.Report healthReport() {
        long nowMillis = mTicker.millis();
        DegradationEstimate.Report told = mHealth.estimate(nowMillis).toReport(nowMillis);
        return mReplaced
                ? new DegradationEstimate.Report(
                        (int) PERMILLE, told.baselinePermille(), told.decayMillis())
                : told;
    }

    void submit(Ticket ticket, AdmissionListener work) {
        // Noted before it is offered: a slot may come free, on another thread, before offer
        // returns.
        mWaiting.put(ticket.id(), work);
        AdmissionDecision offer = mQueue.offer(ticket, mTicker.millis());
        if (offer instanceof AdmissionDecision.Admitted) {
            admit(ticket);
        } else if (offer instanceof AdmissionDecision.Rejected refused) {
            reject(refused.rejection());
        } else if (offer instanceof AdmissionDecision.Queued queued) {
            queued.displaced().forEach(this::reject);
            mOnQueued.run();
        }
    }

    /** Returns the time left in which the answer to a request is of full use, in milliseconds. */
    long softDeadlineRemainingMillis(Ticket ticket) {
        return Math.max(1, ticket.softDeadlineMillis() - mTicker.millis());
    }

    void release(Ticket ticket, RunResult result, long serviceMicros) {
        apply(mQueue.release(ticket, result, serviceMicros, mTicker.millis()));
    }

    /** Takes out work that still waits; false if it has a slot or was refused already. */
    boolean cancel(Ticket ticket) {
        boolean cancelled = mQueue.cancel(ticket);
        if (cancelled) {
            mWaiting.remove(ticket.id());
        }
        return cancelled;
    }

    /** Answers what can't be served any more; called every few milliseconds. */
    void expire() {
        if (mQueue.queued() > 0) {
            apply(mQueue.expire(mTicker.millis()));
        }
    }

    /**
     * Returns requests running and waiting, in permille of the slots usable now; all slots count as
     * taken while the target's limit lets nothing start.
     */
    int loadPermille() {
        int usable = Math.max(1, mQueue.concurrencyLimit());
        int inUse = mQueue.inFlight() + mQueue.queued();
        boolean isPaced = mQueue.isRateLimited(mTicker.millis());
        int taken = isPaced ? Math.max(usable + mQueue.queued(), inUse) : inUse;
        return (int) Math.round(PERMILLE * taken / usable);
    }

    /** Adds to the head of an answer what entries should know of the target. */
    void addHeaders(HttpFields.Mutable headers) {
        headers.put(HeaderNames.LOAD_PERMILLE, loadPermille());
        headers.put(HeaderNames.HEALTH, healthReport().toText());
        if (mLeaving) {
            headers.put(HeaderNames.TARGET_LEAVING, "1");
        }
        mLimit.inForce().ifPresent(limit -> headers.put(HeaderNames.TARGET_LIMIT, limit.toText()));
    }

    int queued() {
        return mQueue.queued();
    }

    int inFlight() {
        return mQueue.inFlight();
    }

    int concurrencyLimit() {
        return mQueue.concurrencyLimit();
    }

    private void apply(QueueChanges changes) {
        changes.rejected().forEach(this::reject);
        changes.admitted().forEach(this::admit);
    }

    private void admit(Ticket ticket) {
        AdmissionListener work = mWaiting.remove(ticket.id());
        if (work != null) {
            work.admitted();
        }
    }

    private void reject(Rejection refusal) {
        AdmissionListener work = mWaiting.remove(refusal.ticket().id());
        if (work != null) {
            work.rejected(refusal);
        }
    }
}
