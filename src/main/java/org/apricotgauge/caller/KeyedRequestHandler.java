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
 * Runs each Idempotency-Key that this node owns at most once.
 *
 * <p>The owner keeps the ledger of its keys; any healthy target may run the request. The guarantees
 * across restarts and partitions are described in docs/design/at-most-once.md.
 */
final class KeyedRequestHandler {
    private static final int MAX_STORED_BODY_BYTES = 16_384;
    private static final int RETRY_AFTER_SECONDS = 1;

    private final EntryContext mContext;
    private final KeyLimits.NewOwnerPolicy mNewOwnerPolicy;
    private final IdempotencyLedger mLedger;
    private final KeyOwners mOwners;

    /** Runs a request that the ledger has admitted, and writes its final answer. */
    @FunctionalInterface
    interface Runner {
        /** Completes the callback once the final answer has been written. */
        void run(Response response, Callback callback);
    }

    KeyedRequestHandler(EntryContext context, KeyLimits limits) {
        mContext = context;
        mNewOwnerPolicy = limits.newOwnerPolicy();
        mLedger = new IdempotencyLedger(limits, context.ticker().millis());
        mOwners = new KeyOwners(limits.retentionMillis());
    }

    /**
     * Runs, replays or refuses a submission whose key this node owns.
     *
     * <p>A submission for the predecessor is recorded as well, so that its key doesn't also run in
     * the fleet once the fleet's share has grown to include it. It is never refused because this
     * node became the owner only recently: an earlier submission ran at the predecessor, which
     * handles duplicates itself.
     *
     * @param servedByPredecessor whether the predecessor serves the request
     */
    void handle(
            IdempotencyKey key,
            ServiceTable table,
            boolean servedByPredecessor,
            Request request,
            Response response,
            Callback callback,
            Runner runner) {
        long nowMillis = mContext.ticker().millis();
        long ownerSinceMillis = mOwners.ownerSinceMillis(key, table, nowMillis);
        KeyDecision decision =
                mLedger.begin(
                        key,
                        fingerprint(request),
                        ownerSinceMillis,
                        nowMillis,
                        servedByPredecessor ? KeyLimits.NewOwnerPolicy.RUN : mNewOwnerPolicy);
        if (decision instanceof KeyDecision.Execute) {
            run(key, request, response, callback, runner);
        } else if (decision instanceof KeyDecision.Replay replay) {
            replay(replay.answer(), response, callback);
        } else {
            refuse(decision, response, callback);
        }
    }

    private void run(
            IdempotencyKey key,
            Request request,
            Response response,
            Callback callback,
            Runner runner) {
        CapturingResponse capturingResponse =
                new CapturingResponse(
                        request, response, MAX_STORED_BODY_BYTES, mContext.scheduler());
        Callback endCallback =
                Callback.from(
                        () -> {
                            capturingResponse.stopHeartbeat();
                            recordOutcome(key, capturingResponse);
                            callback.succeeded();
                        },
                        cause -> {
                            capturingResponse.stopHeartbeat();
                            mLedger.outcomeUnknown(key, mContext.ticker().millis());
                            callback.failed(cause);
                        });
        capturingResponse
                .sendHeartbeat()
                .whenComplete((written, failure) -> runner.run(capturingResponse, endCallback));
    }

    private void recordOutcome(IdempotencyKey key, CapturingResponse capturingResponse) {
        String outcome = capturingResponse.getHeaders().get(HeaderNames.OUTCOME);
        long nowMillis = mContext.ticker().millis();
        if (outcome == null) {
            mLedger.completed(key, capturingResponse.storedAnswer(), nowMillis);
        } else if (HeaderNames.OUTCOME_NOT_RUN.equals(outcome)) {
            mLedger.notRun(key);
        } else {
            mLedger.outcomeUnknown(key, nowMillis);
        }
    }

    /** Hashes what identifies a request; a different request with the same key is an error. */
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

    private static void refuse(KeyDecision decision, Response response, Callback callback) {
        if (decision instanceof KeyDecision.InProgress) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, RETRY_AFTER_SECONDS);
            writeConflict(response, callback, "this key is running now");
        } else if (decision instanceof KeyDecision.Conflict) {
            Bodies.writeText(
                    response,
                    callback,
                    HttpStatus.UNPROCESSABLE_ENTITY_422,
                    IdempotencyKey.HEADER + " was used for another request\n");
        } else if (decision instanceof KeyDecision.HistoryUnknown unknown) {
            OutcomeCodec.write(
                    response,
                    callback,
                    new Outcome.NotRun(
                            NotRunReason.KEY_HISTORY_UNKNOWN, unknown.retryAfterMillis()));
        } else if (decision instanceof KeyDecision.LedgerFull full) {
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
