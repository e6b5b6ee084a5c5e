package org.apricotgauge.target;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.util.Locale;
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
import org.apricotgauge.decision.admission.QueueingPolicy;
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
import org.apricotgauge.decision.health.HealthGate;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.decision.routing.RoutingTable;
import org.apricotgauge.decision.routing.ServiceTable;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.OutcomeCodec;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Route;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The last hop before the targets of this node's VM: limits, queues, fences and forwards.
 *
 * <p>Other nodes send it attempts ({@link Attempt#HEADER}) and control questions ({@link
 * HeaderNames#CONTROL}): its stamp, a fence, or the abandonment of an attempt. Every answer carries
 * the {@link GuardStamp}. All requests on the guard's port come from nodes.
 */
public final class GuardHandler extends Handler.Abstract.NonBlocking {
    /** Value of {@link HeaderNames#CONTROL}: tell the stamp. */
    public static final String CONTROL_STAMP = "stamp";

    /** Value of {@link HeaderNames#CONTROL}: fence the attempt. */
    public static final String CONTROL_FENCE = "fence";

    /** Value of {@link HeaderNames#CONTROL}: fence the attempt, and cancel it if it runs. */
    public static final String CONTROL_ABANDON = "abandon";

    /**
     * Value of {@link HeaderNames#CONTROL}: a request whose Idempotency-Key this node remembers.
     */
    public static final String CONTROL_KEYED = "keyed";

    /** Value of {@link HeaderNames#CONTROL}: what the platform published, as this node knows it. */
    public static final String CONTROL_DIRECTORY = "directory";

    private static final long EXPIRY_INTERVAL_MILLIS = 10;

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

    /** Tells a peer what the platform published. */
    @FunctionalInterface
    public interface DirectoryPages {
        /**
         * Returns the encoded changes after a revision; empty bytes if nothing is read so.
         *
         * @param afterRevision revision that the peer has
         * @param waitMillis how long it waits for a change; 0 if it asks for a younger view
         * @param compressed whether it takes compressed values
         */
        CompletableFuture<byte[]> changesAfter(
                long afterRevision, long waitMillis, boolean compressed);
    }

    /**
     * Creates the handler of one VM.
     *
     * @param vm id of the VM
     * @param table present routing table
     * @param client sends to the targets; started and stopped by the caller
     * @param ledger memory of attempts
     * @param scheduler runs timeouts
     * @param ticker time of ledger and queues
     * @param observer hears how requests ended
     * @param keyed serves requests whose Idempotency-Key this node remembers
     * @param dialect headers of the site's targets
     * @param slotUse who else uses the targets' slots
     * @param retries which retries are let through to targets
     * @param quarantine which requests are kept from targets
     * @param directory tells peers what the platform published
     * @param registry takes the counters
     */
    public GuardHandler(
            String vm,
            Supplier<RoutingTable> table,
            HttpClient client,
            AttemptLedger ledger,
            Scheduler scheduler,
            Ticker ticker,
            GuardObserver observer,
            Request.Handler keyed,
            SiteDialect dialect,
            AdmissionConfig.SlotUse slotUse,
            RetryAllowancePolicy retries,
            QuarantineTable quarantine,
            DirectoryPages directory,
            MetricRegistry registry) {
        mVm = vm;
        mDirectoryPages = directory;
        mRetryBudgets = new RetryBudgetRegistry(retries, ticker.millis());
        mRoutingTable = table;
        mKeyedHandler = keyed;
        mContext =
                new GuardContext(
                        client,
                        ledger,
                        scheduler,
                        ticker,
                        observer,
                        this::acceptsRequests,
                        dialect,
                        ExitDetector.of(
                                client, scheduler, this::acceptsRequests, observer::onTargetEnded),
                        quarantine,
                        new TargetRunLog(ticker),
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
    }

    // Waiting requests are looked at every few milliseconds; while none waits, no timer runs.
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
                // One that was queued after the look and before the mark has found the mark set.
                if (mGates.expire()) {
                    expireWhileQueued();
                }
            }
        }
    }

    /**
     * Refuses attempts that arrive from now on and those that wait, as not run; those at the target
     * go on.
     *
     * <p>One that waited on would get its slot when little is left of the stop's time, and be cut
     * at the target; now it is sent to another.
     */
    public void drain() {
        mDraining = true;
        mRequests.values().forEach(GuardedRequest::onDraining);
    }

    /** Returns how many attempts are here, waiting or running. */
    public int inFlight() {
        return mInFlight.get();
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        long nowMillis = mContext.ticker().millis();
        String stamp = mContext.ledger().stamp(nowMillis).toString();
        response.getHeaders().put(GuardStamp.HEADER, stamp);
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

    private void writeDirectoryPage(HttpFields question, Response response, Callback callback) {
        long afterRevision = Math.max(0, question.getLongField(HeaderNames.DIRECTORY));
        long waitMillis = Math.max(0, question.getLongField(HeaderNames.DIRECTORY_WAIT_MILLIS));
        mDirectoryPages
                .changesAfter(
                        afterRevision,
                        waitMillis,
                        question.contains(HeaderNames.DIRECTORY_COMPRESSED))
                .whenComplete(
                        (page, failure) -> {
                            if (failure == null) {
                                response.write(true, ByteBuffer.wrap(page), callback);
                            } else {
                                callback.failed(failure);
                            }
                        });
    }

    // A second try of a keyed request, read by a node that was paused for longer than it remembers
    // keys, would run again; it carries the latest start of the first, which has passed by then.
    private boolean handleKeyed(
            Attempt attempt, Request request, Response response, Callback callback)
            throws Exception {
        AttemptAdmission arrival = mContext.ledger().check(attempt, mContext.ticker().millis());
        if (arrival == AttemptAdmission.ADMITTED) {
            return mKeyedHandler.handle(request, response, callback);
        }
        reject(arrival, response, callback);
        return true;
    }

    private void fence(Attempt attempt, boolean abandon, Response response, Callback callback) {
        mContext.metrics().fences().inc();
        FenceAnswer answer = mContext.ledger().fence(attempt, mContext.ticker().millis());
        GuardedRequest waiting = mRequests.get(attempt);
        if (waiting != null && abandon) {
            waiting.onAbandoned();
        } else if (waiting != null) {
            waiting.onFenced();
        }
        Bodies.writeText(response, callback, HttpStatus.OK_200, textOf(answer));
    }

    /** Returns the word that a fence is answered with. */
    private static String textOf(FenceAnswer answer) {
        return answer.state().name() + ' ' + answer.status();
    }

    private void forward(Attempt attempt, Request request, Response response, Callback callback) {
        mContext.metrics().requests().inc();
        if (mDraining) {
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
        AttemptAdmission arrival = mContext.ledger().admit(attempt, nowMillis);
        if (arrival != AttemptAdmission.ADMITTED) {
            reject(arrival, response, callback);
            return;
        }
        StartLimit.parseOrNone(request.getHeaders().get(HeaderNames.TARGET_LIMIT))
                .ifPresent(gate::handleEntryLimit);
        Ticket ticket = ticketOf(attempt, request);
        mInFlight.incrementAndGet();
        Callback counted =
                Callback.from(
                        callback,
                        () -> {
                            mRequests.remove(attempt);
                            mInFlight.decrementAndGet();
                        });
        GuardedRequest guarded =
                new GuardedRequest(
                        mContext,
                        gate,
                        attempt,
                        ticket,
                        request,
                        response,
                        counted,
                        riskToleranceOf(request),
                        retryChargeOf(target, request));
        mRequests.put(attempt, guarded);
        guarded.start();
    }

    // The kinds of work are the routes; a guard that knows no such route yet has no estimate
    // either.
    private String workKindOf(Request request) {
        String path = request.getHttpURI().getPath();
        return mRoutingTable
                .get()
                .routes()
                .find(Request.getServerName(request), path == null ? "/" : path)
                .map(Route::id)
                .orElse("");
    }

    // Work that waited here while its target left would reach it later than targets serve on.
    private boolean acceptsRequests(Target target) {
        return mRoutingTable.get().acceptsRequests(target);
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
        long usefulMillis = request.getHeaders().getLongField(HeaderNames.SOFT_DEADLINE_MILLIS);
        return new Ticket(
                mTicketIds.incrementAndGet(),
                member,
                // A running request holds its slot while it waits, whatever the call's route says.
                isCall ? Priority.CRITICAL : priorityOf(request),
                workKindOf(request),
                isCall,
                queueingPolicyOf(request),
                usefulMillis >= 0
                        ? mContext.ticker().millis() + usefulMillis
                        : attempt.latestStartMillis(),
                attempt.latestStartMillis());
    }

    private RetryCharge retryChargeOf(Target target, Request request) {
        Optional<ServiceTable> table = mRoutingTable.get().service(target.service());
        RetryBudget budget =
                table.map(one -> mRetryBudgets.of(one.service(), one.all().size()))
                        .orElseGet(RetryBudget::none);
        String id = mContext.dialect().requestId(request.getHeaders());
        return new RetryCharge(
                request.getHeaders(),
                budget,
                mContext.ticker(),
                () -> mContext.observer().onRetryStarted(id));
    }

    // An entry of an older release names none, and is served as before.
    private static HealthGate.RiskTolerance riskToleranceOf(Request request) {
        String word = request.getHeaders().get(HeaderNames.RISK_TOLERANCE);
        for (HealthGate.RiskTolerance caution : HealthGate.RiskTolerance.values()) {
            if (caution.name().toLowerCase(Locale.ROOT).equals(word)) {
                return caution;
            }
        }
        return HealthGate.RiskTolerance.NONE;
    }

    // An entry of an older release names none, and waits as before.
    private static QueueingPolicy queueingPolicyOf(Request request) {
        String word = request.getHeaders().get(HeaderNames.QUEUEING_POLICY);
        for (QueueingPolicy patience : QueueingPolicy.values()) {
            if (patience.name().toLowerCase(Locale.ROOT).equals(word)) {
                return patience;
            }
        }
        return QueueingPolicy.MAY_WAIT;
    }

    private static Priority priorityOf(Request request) {
        String word = request.getHeaders().get(HeaderNames.PRIORITY);
        for (Priority priority : Priority.values()) {
            if (priority.name().toLowerCase(Locale.ROOT).equals(word)) {
                return priority;
            }
        }
        return Priority.NORMAL;
    }

    private void reject(Response response, Callback callback, NotRunReason reason) {
        mContext.metrics().notRun().inc();
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
        OutcomeCodec.write(response, callback, new Outcome.NotRun(reason, 0));
    }

    private void reject(AttemptAdmission arrival, Response response, Callback callback) {
        if (!arrival.provesNotRun()) {
            mContext.metrics().unknown().inc();
            OutcomeCodec.write(response, callback, new Outcome.Unknown(UnknownReason.FORGOTTEN));
            return;
        }
        NotRunReason reason =
                switch (arrival) {
                    case OTHER_INCARNATION -> NotRunReason.GUARD_RESTARTED;
                    case FULL -> NotRunReason.LEDGER_FULL;
                    case EXPIRED, TOO_FAR_AHEAD -> NotRunReason.DEADLINE_PASSED;
                    default -> NotRunReason.FENCED;
                };
        reject(response, callback, reason);
    }
}
