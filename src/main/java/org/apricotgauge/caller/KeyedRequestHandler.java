package org.apricotgauge.caller;

import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.apricotgauge.decision.attempt.IdempotencyLedger;
import org.apricotgauge.decision.attempt.KeyDecision;
import org.apricotgauge.decision.attempt.KeyLimits;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.StoredAnswer;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.decision.routing.ServiceTable;
import org.apricotgauge.http.Bodies;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.http.OutcomeCodec;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Runs each Idempotency-Key whose home is this node at most once.
 *
 * <p>The home remembers; any healthy target may run the request. What that promises across restarts
 * and partitions is written in docs/design/at-most-once.md.
 */
final class KeyedRequestHandler {
    private static final int MAX_STORED_BODY_BYTES = 16_384;
    private static final int RETRY_AFTER_SECONDS = 1;

    private final EntryContext mContext;
    private final KeyLimits.NewOwnerPolicy mNewOwnerPolicy;
    private final IdempotencyLedger mLedger;
    private final KeyOwners mOwners;

    /** Runs a request that may run, and writes what becomes of it. */
    @FunctionalInterface
    interface Runner {
        /** Completes the callback once the final answer is written. */
        void run(Response response, Callback callback);
    }

    KeyedRequestHandler(EntryContext context, KeyLimits limits) {
        mContext = context;
        mNewOwnerPolicy = limits.newOwnerPolicy();
        mLedger = new IdempotencyLedger(limits, context.ticker().millis());
        mOwners = new KeyOwners(limits.retentionMillis());
    }

    /**
     * Decides on a submission that this node is the home of.
     *
     * <p>One for the older system is remembered as well, so that the key does not run at the fleet
     * too once its bucket has moved. It is never refused for want of memory: what ran before this
     * node remembered ran over there, and the older system answers for it as it always did.
     *
     * @param predecessors whether the older system serves it
     */
    void handle(
            IdempotencyKey key,
            ServiceTable table,
            boolean predecessors,
            Request request,
            Response response,
            Callback callback,
            Runner runner) {
        long nowMillis = mContext.ticker().millis();
        long sinceMillis = mOwners.ownerSinceMillis(key, table, nowMillis);
        KeyDecision verdict =
                mLedger.begin(
                        key,
                        fingerprint(request),
                        sinceMillis,
                        nowMillis,
                        predecessors ? KeyLimits.NewOwnerPolicy.RUN : mNewOwnerPolicy);
        if (verdict instanceof KeyDecision.Execute) {
            run(key, request, response, callback, runner);
        } else if (verdict instanceof KeyDecision.Replay done) {
            replay(done.answer(), response, callback);
        } else {
            refuse(verdict, response, callback);
        }
    }

    private void run(
            IdempotencyKey key,
            Request request,
            Response response,
            Callback callback,
            Runner runner) {
        CapturingResponse keeper =
                new CapturingResponse(
                        request, response, MAX_STORED_BODY_BYTES, mContext.scheduler());
        Callback ended =
                Callback.from(
                        () -> {
                            keeper.stopHeartbeat();
                            recordOutcome(key, keeper);
                            callback.succeeded();
                        },
                        cause -> {
                            keeper.stopHeartbeat();
                            mLedger.outcomeUnknown(key, mContext.ticker().millis());
                            callback.failed(cause);
                        });
        keeper.sendHeartbeat().whenComplete((written, failure) -> runner.run(keeper, ended));
    }

    private void recordOutcome(IdempotencyKey key, CapturingResponse keeper) {
        String outcome = keeper.getHeaders().get(HeaderNames.OUTCOME);
        long nowMillis = mContext.ticker().millis();
        if (outcome == null) {
            mLedger.completed(key, keeper.storedAnswer(), nowMillis);
        } else if (HeaderNames.OUTCOME_NOT_RUN.equals(outcome)) {
            mLedger.notRun(key);
        } else {
            mLedger.outcomeUnknown(key, nowMillis);
        }
    }

    /** Hashes what makes a request the same one; another with its key is a mistake. */
    private static long fingerprint(Request request) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(request.getMethod())
                .putString(String.valueOf(request.getHttpURI().getPathQuery()))
                .putLong(request.getLength())
                .getAsLong();
    }

    private static void replay(StoredAnswer answer, Response response, Callback callback) {
        if (!answer.isComplete()) {
            writeConflict(
                    response, callback, "this key was answered before; the answer is not kept");
            return;
        }
        response.setStatus(answer.status());
        if (!answer.contentType().isEmpty()) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
        }
        response.write(true, answer.body().duplicate(), callback);
    }

    private static void refuse(KeyDecision verdict, Response response, Callback callback) {
        if (verdict instanceof KeyDecision.InProgress) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, RETRY_AFTER_SECONDS);
            writeConflict(response, callback, "this key is running now");
        } else if (verdict instanceof KeyDecision.Conflict) {
            Bodies.writeText(
                    response,
                    callback,
                    HttpStatus.UNPROCESSABLE_ENTITY_422,
                    IdempotencyKey.HEADER + " was used for another request\n");
        } else if (verdict instanceof KeyDecision.HistoryUnknown unknown) {
            OutcomeCodec.write(
                    response,
                    callback,
                    new Outcome.NotRun(
                            NotRunReason.KEY_HISTORY_UNKNOWN, unknown.retryAfterMillis()));
        } else if (verdict instanceof KeyDecision.LedgerFull full) {
            OutcomeCodec.write(
                    response,
                    callback,
                    new Outcome.NotRun(NotRunReason.LEDGER_FULL, full.retryAfterMillis()));
        } else {
            OutcomeCodec.write(response, callback, new Outcome.Unknown(UnknownReason.STARTED));
        }
    }

    private static void writeConflict(Response response, Callback callback, String reason) {
        Bodies.writeText(response, callback, HttpStatus.CONFLICT_409, reason + '\n');
    }
}
