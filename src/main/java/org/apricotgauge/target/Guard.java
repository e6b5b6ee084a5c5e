package org.apricotgauge.target;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.admission.Ticket;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.AttemptAdmission;
import org.apricotgauge.decision.attempt.AttemptLedger;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.RetryAllowancePolicy;
import org.apricotgauge.decision.attempt.RetryBudget;
import org.apricotgauge.decision.attempt.RetryBudgetRegistry;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.decision.routing.FailoverPolicy;
import org.apricotgauge.decision.routing.LocalSlots;
import org.apricotgauge.decision.routing.RoutingTable;
import org.apricotgauge.decision.routing.ServiceTable;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Limits, queues, fences and forwards the attempts at the targets of one VM, however they arrive.
 *
 * <pre>{@code
 * guard.submit(attempt, request, reply);
 * FenceAnswer answer = guard.fence(attempt, false);
 * }</pre>
 *
 * <p>No method blocks. Thread-safe.
 */
public final class Guard {
    private static final long EXPIRY_INTERVAL_MILLIS = 10;
    private static final long STOP_CHECK_INTERVAL_MILLIS = 20;

    private final Supplier<RoutingTable> mRoutingTable;
    private final String mVm;
    private final GuardContext mContext;
    private final TargetGateRegistry mGates;
    private final AtomicLong mTicketIds = new AtomicLong();
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final ConcurrentMap<Attempt, GuardedRequest> mRequests = new ConcurrentHashMap<>();
    private final RetryBudgetRegistry mRetryBudgets;
    private final AtomicBoolean mExpiryScheduled = new AtomicBoolean();
    private volatile boolean mDraining;

    /** Creates the guard of one VM; see {@link GuardHandler} for the parameters. */
    Guard(
            String vm,
            Supplier<RoutingTable> routingTable,
            UpstreamClient client,
            AttemptLedger ledger,
            Scheduler scheduler,
            Ticker ticker,
            GuardObserver observer,
            SiteDialect dialect,
            AdmissionConfig.SlotUse slotUse,
            RetryAllowancePolicy retryAllowance,
            QuarantineTable quarantine,
            StopSchedule stop,
            MetricRegistry registry) {
        mVm = vm;
        mRetryBudgets = new RetryBudgetRegistry(retryAllowance, ticker.millis());
        mRoutingTable = routingTable;
        mContext =
                new GuardContext(
                        client,
                        ledger,
                        scheduler,
                        ticker,
                        observer,
                        this::acceptsRequests,
                        this::hasAlternative,
                        () -> routingTable.get().configuration().authenticatesByKey(),
                        dialect,
                        ExitDetector.of(
                                client, scheduler, this::acceptsRequests, observer::onTargetEnded),
                        quarantine,
                        new TargetRunLog(ticker),
                        stop,
                        GuardMetrics.of(registry));
        mGates =
                new TargetGateRegistry(
                        slotUse,
                        ticker,
                        new LimitReporter(
                                mContext.log(),
                                mContext.metrics().limitedTargets(),
                                observer::onTargetLimitChanged),
                        this::expireWhileQueued);
        stop.begun().thenRun(this::checkWhileStopping);
    }

    GuardContext context() {
        return mContext;
    }

    private void checkWhileStopping() {
        try {
            mRequests.values().forEach(GuardedRequest::onStopping);
        } finally {
            if (mContext.stop().remainingMillis() > 0) {
                mContext.scheduler()
                        .schedule(
                                this::checkWhileStopping,
                                STOP_CHECK_INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
            }
        }
    }

    // Queued requests are checked every few milliseconds; no timer runs while none is queued.
    private void expireWhileQueued() {
        if (mExpiryScheduled.compareAndSet(false, true)) {
            scheduleExpiry();
        }
    }

    private void scheduleExpiry() {
        mContext.scheduler()
                .schedule(this::expireAndReschedule, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void expireAndReschedule() {
        boolean queued = true;
        try {
            queued = mGates.expire();
        } finally {
            if (queued) {
                scheduleExpiry();
            } else {
                mExpiryScheduled.set(false);
                // A request queued since the last check found the flag set and scheduled nothing.
                if (mGates.expire()) {
                    expireWhileQueued();
                }
            }
        }
    }

    /**
     * Rejects arriving and queued attempts as not run from now on; those at a target continue.
     *
     * <p>An attempt that stayed in the queue would get its slot when little of the shutdown time is
     * left, and would be aborted at the target. Rejected now, it is sent to another target.
     */
    public void drain() {
        mDraining = true;
        mRequests.values().forEach(GuardedRequest::onDraining);
    }

    /** Returns the slots of this VM's targets; of none once the guard accepts no new work. */
    public LocalSlots localSlots() {
        return targetId ->
                Optional.ofNullable(mRoutingTable.get().target(targetId))
                        .filter(target -> !mDraining && target.vm().equals(mVm))
                        .map(mGates::gateOf)
                        .filter(gate -> !gate.isReplaced())
                        .map(TargetGate::slotUse);
    }

    /** Returns the number of attempts that are queued or running. */
    public int inFlight() {
        return mInFlight.get();
    }

    boolean isDraining() {
        return mDraining;
    }

    /** Returns the present reading of this guard's clock, with its incarnation. */
    public GuardStamp stamp() {
        return mContext.ledger().stamp(mContext.ticker().millis());
    }

    /** Returns the time until this guard's process ends; see {@link StopSchedule}. */
    public long stopMillis() {
        return mContext.stop().remainingMillis();
    }

    /**
     * Refuses an attempt if it arrives later, and removes it from the queue.
     *
     * @param cancel whether an attempt that has started is cancelled at its target
     */
    public FenceAnswer fence(Attempt attempt, boolean cancel) {
        mContext.metrics().fences().inc();
        FenceAnswer answer = mContext.ledger().fence(attempt, mContext.ticker().millis());
        GuardedRequest guardedRequest = mRequests.get(attempt);
        if (guardedRequest != null && cancel) {
            guardedRequest.onAbandoned();
        } else if (guardedRequest != null) {
            guardedRequest.onFenced();
        }
        return answer;
    }

    /** Submits an attempt; the reply is used now or later, on any thread. */
    public void submit(Attempt attempt, HopRequest request, HopReply reply) {
        mContext.metrics().requests().inc();
        if (mDraining) {
            mContext.metrics().stopDeclined().inc();
            reject(reply, NotRunReason.LEAVING);
            return;
        }
        Target target = targetOf(request);
        if (target == null || !target.vm().equals(mVm)) {
            reject(reply, NotRunReason.TARGET_UNREACHABLE);
            return;
        }
        TargetGate gate = mGates.gateOf(target);
        if (gate.isReplaced()) {
            reject(reply, NotRunReason.TARGET_UNREACHABLE);
            return;
        }
        mContext.observer().onAttemptArrived(target, request.entryHost(), request.headers());
        AttemptAdmission admission = mContext.ledger().admit(attempt, mContext.ticker().millis());
        if (admission != AttemptAdmission.ADMITTED) {
            reject(reply, admission);
            return;
        }
        StartLimit.parseOrNone(request.headers().get(HeaderNames.TARGET_LIMIT))
                .ifPresent(gate::handleEntryLimit);
        Ticket ticket = ticketOf(attempt, request);
        mInFlight.incrementAndGet();
        reply.whenEnded(
                () -> {
                    mRequests.remove(attempt);
                    mInFlight.decrementAndGet();
                });
        GuardedRequest guardedRequest =
                new GuardedRequest(
                        mContext,
                        gate,
                        attempt,
                        ticket,
                        request,
                        reply,
                        retryChargeOf(target, request));
        mRequests.put(attempt, guardedRequest);
        guardedRequest.start();
        if (mDraining) {
            // The node began to drain while the request arrived.
            guardedRequest.onDraining();
        }
    }

    // The kind of work is the route; a guard without that route yet has no estimate for it.
    private String workKindOf(HopRequest request) {
        return mRoutingTable
                .get()
                .routes()
                .find(request.host(), request.path())
                .map(Route::id)
                .orElse("");
    }

    // A request queued while its target leaves would arrive after the target stopped serving.
    private boolean acceptsRequests(Target target) {
        return mRoutingTable.get().acceptsRequests(target);
    }

    private boolean hasAlternative(Target target) {
        return mRoutingTable
                .get()
                .service(target.service())
                .filter(
                        service ->
                                FailoverPolicy.hasAlternative(
                                        service, target.id(), mContext.ticker().nanos()))
                .isPresent();
    }

    private Target targetOf(HopRequest request) {
        String id = request.headers().get(HeaderNames.TARGET);
        return id == null ? null : mRoutingTable.get().target(id);
    }

    private Ticket ticketOf(Attempt attempt, HopRequest request) {
        String memberId = request.headers().get(HeaderNames.MEMBER);
        Member member =
                memberId == null ? null : mRoutingTable.get().configuration().member(memberId);
        if (member == null) {
            member =
                    new Member(
                            memberId == null ? Member.ANONYMOUS_ID : memberId,
                            Member.DEFAULT_WEIGHT);
        }
        boolean isCall = request.headers().contains(HeaderNames.NESTED_CALL);
        long softRemainingMillis = request.headers().getLongField(HeaderNames.SOFT_DEADLINE_MILLIS);
        return new Ticket(
                mTicketIds.incrementAndGet(),
                member,
                // Overrides the route's priority: the parent holds a slot until its call ends.
                isCall ? Priority.CRITICAL : HopHeaders.priorityOf(request.headers()),
                workKindOf(request),
                isCall,
                HopHeaders.queueingPolicyOf(request.headers()),
                softRemainingMillis >= 0
                        ? mContext.ticker().millis() + softRemainingMillis
                        : attempt.latestStartMillis(),
                attempt.latestStartMillis());
    }

    private RetryCharge retryChargeOf(Target target, HopRequest request) {
        Optional<ServiceTable> serviceTable = mRoutingTable.get().service(target.service());
        RetryBudget budget =
                serviceTable
                        .map(service -> mRetryBudgets.of(service.service(), service.all().size()))
                        .orElseGet(RetryBudget::none);
        String id = mContext.dialect().requestId(request.headers());
        return new RetryCharge(
                request.headers(),
                budget,
                mContext.ticker(),
                () -> mContext.observer().onRetryStarted(id));
    }

    /** Rejects an attempt that the ledger did not admit. */
    void reject(HopReply reply, AttemptAdmission admission) {
        if (!admission.provesNotRun()) {
            mContext.metrics().unknown().inc();
            reply.end(new Outcome.Unknown(UnknownReason.FORGOTTEN));
            return;
        }
        NotRunReason reason =
                switch (admission) {
                    case OTHER_INCARNATION -> NotRunReason.GUARD_RESTARTED;
                    case FULL -> NotRunReason.LEDGER_FULL;
                    case EXPIRED, TOO_FAR_AHEAD -> NotRunReason.DEADLINE_PASSED;
                    default -> NotRunReason.FENCED;
                };
        reject(reply, reason);
    }

    private void reject(HopReply reply, NotRunReason reason) {
        mContext.metrics().notRun().inc();
        reply.headers().put(HttpHeader.CONNECTION, "close");
        reply.end(new Outcome.NotRun(reason, 0));
    }
}
