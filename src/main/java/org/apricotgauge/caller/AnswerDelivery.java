package org.apricotgauge.caller;

import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.http.FailureTrackingSource;
import org.apricotgauge.http.OutcomeCodec;
import org.apricotgauge.http.ResponseForwarder;
import org.apricotgauge.http.client.UpstreamResponse;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes the final answer of an exchange: a target's answer, streamed or buffered, or the outcome.
 *
 * <p>The exchange makes all decisions and uses its delivery once.
 */
final class AnswerDelivery {
    private static final long MAX_KEEP_MILLIS = 1_000;
    private static final int KEEP_SHARE = 4;

    private final EntryContext mContext;
    private final ExchangeReporter mReporter;
    private final Request mRequest;
    private final Response mResponse;
    private final Callback mCallback;
    private volatile BufferedAnswer mKept;

    AnswerDelivery(
            EntryContext context,
            ExchangeReporter reporter,
            Request request,
            Response response,
            Callback callback) {
        mContext = context;
        mReporter = reporter;
        mRequest = request;
        mResponse = response;
        mCallback = callback;
    }

    /**
     * Keeps an answer, in case no retry gets a better one.
     *
     * <p>Waiting for its body delays the retry, so that only a part of the time left is spent on
     * it.
     *
     * @param next called once the answer is kept, or can't be
     */
    void keep(
            UpstreamResponse answer,
            Content.Source body,
            ExchangeDeadline deadline,
            Runnable next) {
        long timeoutMillis =
                Math.max(1, Math.min(MAX_KEEP_MILLIS, deadline.remainingMillis() / KEEP_SHARE));
        BufferedAnswer.read(answer, body, mContext.scheduler(), timeoutMillis)
                .whenComplete(
                        (buffered, failure) -> {
                            if (failure == null) {
                                mKept = buffered;
                            } else {
                                mReporter.recordStep("answer not kept: " + failure.getMessage());
                            }
                            next.run();
                        });
    }

    boolean hasKept() {
        return mKept != null;
    }

    /** Writes the kept answer, or the outcome if there is none. */
    void writeKeptOr(Outcome outcome) {
        BufferedAnswer kept = mKept;
        if (kept == null) {
            writeOutcome(outcome);
            return;
        }
        mReporter.recordOutcome(new Outcome.Answered(kept.status()));
        mContext.metrics().answered().inc();
        kept.write(mResponse, mCallback);
    }

    /** Streams an answer to the caller. */
    void forward(TargetAttempt attempt, UpstreamResponse answer, Content.Source body) {
        ResponseForwarder.copyHead(answer, mResponse);
        FailureTrackingSource trackedBody = new FailureTrackingSource(body);
        ResponseForwarder.copyBody(
                answer,
                trackedBody,
                mResponse,
                Callback.from(
                        () -> onForwarded(attempt),
                        cause -> onForwardFailed(attempt, trackedBody, cause)));
    }

    private void onForwarded(TargetAttempt attempt) {
        attempt.end();
        mContext.metrics().answered().inc();
        mReporter.recordOutcome(new Outcome.Answered(mResponse.getStatus()));
        mCallback.succeeded();
    }

    private void onForwardFailed(
            TargetAttempt attempt, FailureTrackingSource body, Throwable cause) {
        attempt.end();
        mContext.metrics().brokenAnswers().inc();
        mReporter.recordOutcome(new Outcome.Unknown(UnknownReason.ANSWER_LOST));
        if (body.hasFailed() && !mResponse.isCommitted()) {
            mResponse.reset();
            OutcomeCodec.write(
                    mResponse, mCallback, new Outcome.Unknown(UnknownReason.ANSWER_LOST));
        } else {
            // The head has been sent. Closing the connection without ending the message keeps the
            // caller from treating a truncated answer as complete.
            ResponseForwarder.abort(mRequest, mCallback, cause);
        }
    }

    private void writeOutcome(Outcome outcome) {
        mReporter.recordOutcome(outcome);
        if (outcome instanceof Outcome.NotRun notRun) {
            mContext.metrics().notRun().inc();
            OutcomeCodec.write(mResponse, mCallback, notRun, mContext.dialect());
        } else if (outcome instanceof Outcome.Unknown unknown) {
            mContext.metrics().unknown().inc();
            OutcomeCodec.write(mResponse, mCallback, unknown);
        } else {
            throw new IllegalStateException("an answered outcome must be forwarded: " + outcome);
        }
    }
}
