package org.apricotgauge.target;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.OutcomeCodec;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.model.ChangesRequest;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.StorePosition;
import org.apricotgauge.model.Target;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Handles the last hop before the targets of this node's VM: it limits, queues, fences and forwards
 * attempts.
 *
 * <p>Other nodes send it attempts ({@link Attempt#HEADER}) and control requests ({@link
 * HeaderNames#CONTROL}), such as one for its stamp, a fence, or the abandonment of an attempt.
 * Every answer carries the {@link GuardStamp}. All requests on the guard's port come from nodes.
 */
public final class GuardHandler extends Handler.Abstract.NonBlocking {
    /** Value of {@link HeaderNames#CONTROL}: return the stamp. */
    public static final String CONTROL_STAMP = "stamp";

    /** Value of {@link HeaderNames#CONTROL}: fence the attempt. */
    public static final String CONTROL_FENCE = "fence";

    /** Value of {@link HeaderNames#CONTROL}: fence the attempt, and cancel it if it runs. */
    public static final String CONTROL_ABANDON = "abandon";

    /** Value of {@link HeaderNames#CONTROL}: a request whose Idempotency-Key this node owns. */
    public static final String CONTROL_KEYED = "keyed";

    /** Value of {@link HeaderNames#CONTROL}: return this node's copy of the platform's items. */
    public static final String CONTROL_DIRECTORY = "directory";

    private static final long EXPIRY_INTERVAL_MILLIS = 10;
    private static final long STOP_CHECK_INTERVAL_MILLIS = 20;

    private final Supplier<RoutingTable> mRoutingTable;
    private final String mVm;
    private final GuardContext mContext;
    private final TargetGateRegistry mGates;
    private final AtomicLong mTicketIds = new AtomicLong();
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final ConcurrentMap<Attempt, GuardedRequest> mRequests = new ConcurrentHashMap<>();
    private final Request.Handler mKeyedHandler;
    private final DirectoryPages mDirectoryPages;
    private final RetryBudgetRegistry mRetryBudgets;
    private final AtomicBoolean mExpiryScheduled = new AtomicBoolean();
    private volatile boolean mDraining;

    /** Provides peers with this node's copy of the items that the platform published. */
    @FunctionalInterface
    public interface DirectoryPages {
        /**
         * Returns the encoded changes that a peer requests; empty if this node reads no such items.
         */
        CompletableFuture<byte[]> changesFor(ChangesRequest request);
    }

    /**
     * Creates the handler of one VM.
     *
     * @param vm id of the VM
     * @param routingTable supplies the present routing table
     * @param client HTTP client for the targets; started and stopped by the caller
     * @param ledger records attempts
     * @param scheduler runs timeouts
     * @param ticker clock of the ledger and the queues
     * @param observer is notified of requests and of targets' state
     * @param keyedHandler handles requests whose Idempotency-Key this node owns
     * @param dialect header convention of the site's targets
     * @param slotUse who else uses the targets' slots
     * @param retryAllowance bounds the retries that are sent to targets
     * @param quarantine requests that may not be sent to targets
     * @param directoryPages provides the platform's items to peers
     * @param stop when this node ends
     * @param registry registers the metrics
     */
    public GuardHandler(
            String vm,
            Supplier<RoutingTable> routingTable,
            UpstreamClient client,
            AttemptLedger ledger,
            Scheduler scheduler,
            Ticker ticker,
            GuardObserver observer,
            Request.Handler keyedHandler,
            SiteDialect dialect,
            AdmissionConfig.SlotUse slotUse,
            RetryAllowancePolicy retryAllowance,
            QuarantineTable quarantine,
            DirectoryPages directoryPages,
            StopSchedule stop,
            MetricRegistry registry) {
        mVm = vm;
        mDirectoryPages = directoryPages;
        mRetryBudgets = new RetryBudgetRegistry(retryAllowance, ticker.millis());
        mRoutingTable = routingTable;
        mKeyedHandler = keyedHandler;
        mContext =
                new GuardContext(
                        client,
                        ledger,
                        scheduler,
                        ticker,
                        observer,
                        this::acceptsRequests,
                        this::hasAlternative,
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

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        long nowMillis = mContext.ticker().millis();
        String stamp = mContext.ledger().stamp(nowMillis).toString();
        response.getHeaders().put(GuardStamp.HEADER, stamp);
        mContext.addStopHeader(response.getHeaders());
        if (mDraining) {
            // A later attempt on this connection could meet the end of the port.
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
        String control = request.getHeaders().get(HeaderNames.CONTROL);
        if (CONTROL_STAMP.equals(control)) {
            Bodies.writeText(response, callback, HttpStatus.OK_200, "");
            return true;
        }
        if (CONTROL_DIRECTORY.equals(control)) {
            writeDirectoryPage(request.getHeaders(), response, callback);
            return true;
        }
        Optional<Attempt> attempt =
                Optional.ofNullable(request.getHeaders().get(Attempt.HEADER))
                        .flatMap(Attempt::parse);
        if (attempt.isEmpty()) {
            mContext.metrics().badRequests().inc();
            Bodies.writeText(
                    response, callback, HttpStatus.BAD_REQUEST_400, Attempt.HEADER + " missing\n");
            return true;
        }
        if (CONTROL_KEYED.equals(control)) {
            return handleKeyed(attempt.get(), request, response, callback);
        }
        if (control != null) {
            fence(attempt.get(), CONTROL_ABANDON.equals(control), response, callback);
        } else {
            forward(attempt.get(), request, response, callback);
        }
        return true;
    }

    private void writeDirectoryPage(HttpFields headers, Response response, Callback callback) {
        StorePosition after =
                new StorePosition(
                        Math.max(0, headers.getLongField(HeaderNames.DIRECTORY_ERA)),
                        Math.max(0, headers.getLongField(HeaderNames.DIRECTORY)));
        long waitMillis = Math.max(0, headers.getLongField(HeaderNames.DIRECTORY_WAIT_MILLIS));
        mDirectoryPages
                .changesFor(
                        new ChangesRequest(
                                after,
                                headers.contains(HeaderNames.DIRECTORY_ERA),
                                waitMillis,
                                headers.contains(HeaderNames.DIRECTORY_COMPRESSED)))
                .whenComplete(
                        (page, failure) -> {
                            if (failure == null) {
                                response.write(true, ByteBuffer.wrap(page), callback);
                            } else {
                                callback.failed(failure);
                            }
                        });
    }

    // A node that was paused for longer than it retains keys would run a retry of a keyed request
    // again. The retry carries the latest start of the first attempt, which has passed by then.
    private boolean handleKeyed(
            Attempt attempt, Request request, Response response, Callback callback)
            throws Exception {
        AttemptAdmission admission = mContext.ledger().check(attempt, mContext.ticker().millis());
        if (admission == AttemptAdmission.ADMITTED) {
            return mKeyedHandler.handle(request, response, callback);
        }
        reject(admission, response, callback);
        return true;
    }

    private void fence(Attempt attempt, boolean abandon, Response response, Callback callback) {
        mContext.metrics().fences().inc();
        FenceAnswer answer = mContext.ledger().fence(attempt, mContext.ticker().millis());
        GuardedRequest guardedRequest = mRequests.get(attempt);
        if (guardedRequest != null && abandon) {
            guardedRequest.onAbandoned();
        } else if (guardedRequest != null) {
            guardedRequest.onFenced();
        }
        Bodies.writeText(response, callback, HttpStatus.OK_200, textOf(answer));
    }

    /** Returns the text that answers a fence. */
    private static String textOf(FenceAnswer answer) {
        return answer.state().name() + ' ' + answer.status();
    }

    private void forward(Attempt attempt, Request request, Response response, Callback callback) {
        mContext.metrics().requests().inc();
        if (mDraining) {
            mContext.metrics().stopDeclined().inc();
            reject(response, callback, NotRunReason.LEAVING);
            return;
        }
        Target target = targetOf(request);
        if (target == null || !target.vm().equals(mVm)) {
            reject(response, callback, NotRunReason.TARGET_UNREACHABLE);
            return;
        }
        TargetGate gate = mGates.gateOf(target);
        if (gate.isReplaced()) {
            reject(response, callback, NotRunReason.TARGET_UNREACHABLE);
            return;
        }
        mContext.observer()
                .onAttemptArrived(target, Request.getRemoteAddr(request), request.getHeaders());
        long nowMillis = mContext.ticker().millis();
        AttemptAdmission admission = mContext.ledger().admit(attempt, nowMillis);
        if (admission != AttemptAdmission.ADMITTED) {
            reject(admission, response, callback);
            return;
        }
        StartLimit.parseOrNone(request.getHeaders().get(HeaderNames.TARGET_LIMIT))
                .ifPresent(gate::handleEntryLimit);
        Ticket ticket = ticketOf(attempt, request);
        mInFlight.incrementAndGet();
        Callback countingCallback =
                Callback.from(
                        callback,
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
                        response,
                        countingCallback,
                        HopHeaders.targetRestrictionOf(request),
                        retryChargeOf(target, request));
        mRequests.put(attempt, guardedRequest);
        guardedRequest.start();
        if (mDraining) {
            // The node began to drain while the request arrived.
            guardedRequest.onDraining();
        }
    }

    // The kind of work is the route; a guard without that route yet has no estimate for it.
    private String workKindOf(Request request) {
        String path = request.getHttpURI().getPath();
        return mRoutingTable
                .get()
                .routes()
                .find(Request.getServerName(request), path == null ? "/" : path)
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

    private Target targetOf(Request request) {
        String id = request.getHeaders().get(HeaderNames.TARGET);
        return id == null ? null : mRoutingTable.get().target(id);
    }

    private Ticket ticketOf(Attempt attempt, Request request) {
        String memberId = request.getHeaders().get(HeaderNames.MEMBER);
        Member member =
                memberId == null ? null : mRoutingTable.get().configuration().member(memberId);
        if (member == null) {
            member =
                    new Member(
                            memberId == null ? Member.ANONYMOUS_ID : memberId,
                            Member.DEFAULT_WEIGHT);
        }
        boolean isCall = request.getHeaders().contains(HeaderNames.NESTED_CALL);
        long softRemainingMillis =
                request.getHeaders().getLongField(HeaderNames.SOFT_DEADLINE_MILLIS);
        return new Ticket(
                mTicketIds.incrementAndGet(),
                member,
                // Overrides the route's priority: the parent holds a slot until its call ends.
                isCall ? Priority.CRITICAL : HopHeaders.priorityOf(request),
                workKindOf(request),
                isCall,
                HopHeaders.queueingPolicyOf(request),
                softRemainingMillis >= 0
                        ? mContext.ticker().millis() + softRemainingMillis
                        : attempt.latestStartMillis(),
                attempt.latestStartMillis());
    }

    private RetryCharge retryChargeOf(Target target, Request request) {
        Optional<ServiceTable> serviceTable = mRoutingTable.get().service(target.service());
        RetryBudget budget =
                serviceTable
                        .map(service -> mRetryBudgets.of(service.service(), service.all().size()))
                        .orElseGet(RetryBudget::none);
        String id = mContext.dialect().requestId(request.getHeaders());
        return new RetryCharge(
                request.getHeaders(),
                budget,
                mContext.ticker(),
                () -> mContext.observer().onRetryStarted(id));
    }

    private void reject(Response response, Callback callback, NotRunReason reason) {
        mContext.metrics().notRun().inc();
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        OutcomeCodec.write(response, callback, new Outcome.NotRun(reason, 0));
    }

    private void reject(AttemptAdmission admission, Response response, Callback callback) {
        if (!admission.provesNotRun()) {
            mContext.metrics().unknown().inc();
            OutcomeCodec.write(response, callback, new Outcome.Unknown(UnknownReason.FORGOTTEN));
            return;
        }
        NotRunReason reason =
                switch (admission) {
                    case OTHER_INCARNATION -> NotRunReason.GUARD_RESTARTED;
                    case FULL -> NotRunReason.LEDGER_FULL;
                    case EXPIRED, TOO_FAR_AHEAD -> NotRunReason.DEADLINE_PASSED;
                    default -> NotRunReason.FENCED;
                };
        reject(response, callback, reason);
    }
}
