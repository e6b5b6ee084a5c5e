package org.apricotgauge.target;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apricotgauge.decision.admission.AdmissionConfig;
import org.apricotgauge.decision.attempt.Attempt;
import org.apricotgauge.decision.attempt.AttemptAdmission;
import org.apricotgauge.decision.attempt.AttemptLedger;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.GuardStamp;
import org.apricotgauge.decision.attempt.RetryAllowancePolicy;
import org.apricotgauge.decision.quarantine.QuarantineTable;
import org.apricotgauge.decision.routing.LocalSlots;
import org.apricotgauge.decision.routing.RoutingTable;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.SiteDialect;
import org.apricotgauge.http.client.UpstreamClient;
import org.apricotgauge.model.ChangesRequest;
import org.apricotgauge.model.StorePosition;
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
 * Handles the requests of other nodes to the guard of this node's VM.
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

    private final Guard mGuard;
    private final GuardContext mContext;
    private final Request.Handler mKeyedHandler;
    private final DirectoryPages mDirectoryPages;

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
        mKeyedHandler = keyedHandler;
        mDirectoryPages = directoryPages;
        mGuard =
                new Guard(
                        vm,
                        routingTable,
                        client,
                        ledger,
                        scheduler,
                        ticker,
                        observer,
                        dialect,
                        slotUse,
                        retryAllowance,
                        quarantine,
                        stop,
                        registry);
        mContext = mGuard.context();
    }

    /**
     * Rejects arriving and queued attempts as not run from now on; those at a target continue.
     *
     * <p>An attempt that stayed in the queue would get its slot when little of the shutdown time is
     * left, and would be aborted at the target. Rejected now, it is sent to another target.
     */
    public void drain() {
        mGuard.drain();
    }

    /** Returns the slots of this VM's targets; of none once the guard accepts no new work. */
    public LocalSlots localSlots() {
        return mGuard.localSlots();
    }

    /** Returns the number of attempts that are queued or running. */
    public int inFlight() {
        return mGuard.inFlight();
    }

    /** Returns the guard that this handler submits attempts to. */
    public Guard guard() {
        return mGuard;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        response.getHeaders().put(GuardStamp.HEADER, mGuard.stamp().toString());
        mContext.addStopHeader(response.getHeaders());
        if (mGuard.isDraining()) {
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
            FenceAnswer answer = mGuard.fence(attempt.get(), CONTROL_ABANDON.equals(control));
            Bodies.writeText(response, callback, HttpStatus.OK_200, textOf(answer));
        } else {
            mGuard.submit(
                    attempt.get(),
                    HttpHopReply.toHopRequest(request),
                    new HttpHopReply(request, response, callback));
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
        mGuard.reject(new HttpHopReply(request, response, callback), admission);
        return true;
    }

    /** Returns the text that answers a fence. */
    private static String textOf(FenceAnswer answer) {
        return answer.state().name() + ' ' + answer.status();
    }
}
