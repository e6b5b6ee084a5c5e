package org.apricotgauge.target;

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
import org.apricotgauge.decision.routing.LocalSlots;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.TargetNotice;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;

/**
 * Admits requests to the slots of one target and queues those that have to wait.
 *
 * <pre>{@code
 * gate.submit(ticket, listener);   // listener.admitted() or listener.rejected(...), now or later
 * gate.release(ticket, RunResult.ANSWERED, serviceMicros);
 * }</pre>
 *
 * <p>Exactly one method of each listener is called unless its ticket is cancelled, on the thread
 * that freed the slot or determined that the deadline can't be met. Thread-safe.
 */
final class TargetGate {
    private static final double PERMILLE = 1_000.0;

    private final Target mTarget;
    private final Address mAddress;
    private final AdmissionQueue mQueue;
    private final TargetLimitTracker mLimitTracker;
    private final Ticker mTicker;
    private final Runnable mOnQueued;
    private volatile boolean mReplaced;
    private volatile boolean mLeaving;
    private final HealthGate mHealth = new HealthGate();
    private final ConcurrentMap<Long, AdmissionListener> mWaiting = new ConcurrentHashMap<>();

    /** Receives the decision about a ticket that was submitted. */
    interface AdmissionListener {
        /** Called once the ticket has a slot, which must be released exactly once. */
        void admitted();

        /** Called once it is decided that the ticket gets no slot. */
        void rejected(Rejection rejection);
    }

    TargetGate(
            Target target,
            AdmissionConfig.SlotUse slotUse,
            Ticker ticker,
            LimitReporter limitReporter,
            Runnable onQueued) {
        mOnQueued = onQueued;
        mTarget = target;
        mAddress = new Address(target.host(), target.port());
        mQueue = new AdmissionQueue(AdmissionConfig.forSlots(target.slots(), slotUse));
        mLimitTracker = new TargetLimitTracker(target, mQueue, limitReporter);
        mTicker = ticker;
    }

    Target target() {
        return mTarget;
    }

    Address address() {
        return mAddress;
    }

    /** Records that another target now has the address; this target was removed for good. */
    void markReplaced() {
        mReplaced = true;
    }

    boolean isReplaced() {
        return mReplaced;
    }

    /**
     * Handles the notice of the target's state in one of its answers.
     *
     * @param ran whether the target ran the request
     * @param sentMillis when the answered request was sent
     */
    void handleNotice(TargetNotice notice, boolean ran, long sentMillis) {
        mLeaving |= notice.leaving();
        apply(mLimitTracker.handleNotice(notice, ran, sentMillis, mTicker.millis()));
    }

    /** Handles a rate limit that an entry received from the target. */
    void handleEntryLimit(StartLimit limit) {
        mLimitTracker.handleEntryLimit(limit, mTicker.millis());
    }

    HealthGate health() {
        return mHealth;
    }

    /** Returns the probability that the target is degraded, as reported to entries. */
    DegradationEstimate.Report healthReport() {
        long nowMillis = mTicker.millis();
        DegradationEstimate.Report report = mHealth.estimate(nowMillis).toReport(nowMillis);
        return mReplaced
                ? new DegradationEstimate.Report(
                        (int) PERMILLE, report.baselinePermille(), report.decayMillis())
                : report;
    }

    void submit(Ticket ticket, AdmissionListener listener) {
        // Added before the offer: another thread may free a slot before offer returns.
        mWaiting.put(ticket.id(), listener);
        AdmissionDecision decision = mQueue.offer(ticket, mTicker.millis());
        if (decision instanceof AdmissionDecision.Admitted) {
            admit(ticket);
        } else if (decision instanceof AdmissionDecision.Rejected rejected) {
            reject(rejected.rejection());
        } else if (decision instanceof AdmissionDecision.Queued queued) {
            queued.displaced().forEach(this::reject);
            mOnQueued.run();
        }
    }

    /** Returns the time left to the ticket's soft deadline, in milliseconds; at least 1. */
    long softDeadlineRemainingMillis(Ticket ticket) {
        return Math.max(1, ticket.softDeadlineMillis() - mTicker.millis());
    }

    void release(Ticket ticket, RunResult result, long serviceMicros) {
        apply(mQueue.release(ticket, result, serviceMicros, mTicker.millis()));
    }

    /** Removes a queued ticket; false if it has a slot or was rejected already. */
    boolean cancel(Ticket ticket) {
        boolean cancelled = mQueue.cancel(ticket);
        if (cancelled) {
            mWaiting.remove(ticket.id());
        }
        return cancelled;
    }

    /** Rejects tickets that can't meet their deadline; called every few milliseconds. */
    void expire() {
        if (mQueue.queued() > 0) {
            apply(mQueue.expire(mTicker.millis()));
        }
    }

    /**
     * Returns requests running and waiting, in permille of the slots usable now; all slots count as
     * used while the target's rate limit permits no start.
     */
    int loadPermille() {
        int usable = Math.max(1, mQueue.concurrencyLimit());
        int inUse = mQueue.inFlight() + mQueue.queued();
        boolean isRateLimited = mQueue.isRateLimited(mTicker.millis());
        int usedSlots = isRateLimited ? Math.max(usable + mQueue.queued(), inUse) : inUse;
        return (int) Math.round(PERMILLE * usedSlots / usable);
    }

    /** Adds the target's load, health and announcements to the headers of an answer. */
    void addHeaders(HttpFields.Mutable headers) {
        headers.put(HeaderNames.LOAD_PERMILLE, loadPermille());
        headers.put(HeaderNames.HEALTH, healthReport().toText());
        if (mLeaving) {
            headers.put(HeaderNames.TARGET_LEAVING, "1");
        }
        mLimitTracker
                .inForce()
                .ifPresent(limit -> headers.put(HeaderNames.TARGET_LIMIT, limit.toText()));
    }

    /** Returns the slots that a request would get at once, and the requests that wait. */
    LocalSlots.Use slotUse() {
        return new LocalSlots.Use(mQueue.freeSlots(mTicker.millis()), mQueue.queued());
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
        AdmissionListener listener = mWaiting.remove(ticket.id());
        if (listener != null) {
            listener.admitted();
        }
    }

    private void reject(Rejection rejection) {
        AdmissionListener listener = mWaiting.remove(rejection.ticket().id());
        if (listener != null) {
            listener.rejected(rejection);
        }
    }
}
