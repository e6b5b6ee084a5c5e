package org.apricotgauge.caller;

import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.attempt.UnknownReason;
import org.apricotgauge.http.FailureTrackingSource;
import org.apricotgauge.http.OutcomeCodec;
import org.apricotgauge.http.ResponseForwarder;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Gives a caller its one final answer: a target's, passed on or kept, or the fleet's own word.
 *
 * <p>Used once for each exchange, which has decided by then; nothing here decides.
 */
final class AnswerDelivery {
    private final EntryContext mContext;
    private final ExchangeReporter mReporter;
    private final Request mRequest;
    private final Response mResponse;
    private final Callback mCallback;

    AnswerDelivery(
            EntryContext context,
            ExchangeReporter report,
            Request request,
            Response response,
            Callback callback) {
        mContext = context;
        mReporter = report;
        mRequest = request;
        mResponse = response;
        mCallback = callback;
    }

    /** Gives an answer that was read whole before. */
    void writeBuffered(BufferedAnswer kept) {
        mReporter.recordOutcome(new Outcome.Answered(kept.status()));
        mContext.metrics().answered().inc();
        kept.write(mResponse, mCallback);
    }

    /** Gives an answer while it comes. */
    void forward(
            TargetAttempt attempt, org.eclipse.jetty.client.Response answer, Content.Source body) {
        ResponseForwarder.copyHead(answer, mResponse);
        FailureTrackingSource watched = new FailureTrackingSource(body);
        ResponseForwarder.copyBody(
                answer,
                watched,
                mResponse,
                Callback.from(
                        () -> onForwarded(attempt),
                        cause -> onForwardFailed(attempt, watched, cause)));
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
            // The head is out: the server closes the connection without ending the message, so
            // that the caller does not take half an answer for a whole one.
            ResponseForwarder.abort(mRequest, mCallback, cause);
        }
    }

    /** Tells what became of a request that has no answer. */
    void writeOutcome(Outcome outcome) {
        mReporter.recordOutcome(outcome);
        if (outcome instanceof Outcome.NotRun notRun) {
            mContext.metrics().notRun().inc();
            OutcomeCodec.write(mResponse, mCallback, notRun, mContext.dialect());
        } else if (outcome instanceof Outcome.Unknown unknown) {
            mContext.metrics().unknown().inc();
            OutcomeCodec.write(mResponse, mCallback, unknown);
        } else {
            throw new IllegalStateException("an answer must be passed on, not told: " + outcome);
        }
    }
}
