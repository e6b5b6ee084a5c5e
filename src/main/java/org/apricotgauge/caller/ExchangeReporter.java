package org.apricotgauge.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.admission.QueueingPolicy;
import org.apricotgauge.decision.attempt.NotRunReason;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.model.SiteView;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;

/** Reports one exchange, its steps and its outcome, to the observer, the metrics and the log. */
final class ExchangeReporter {
    private final EntryContext mContext;
    private final CallerRequest mCallerRequest;
    private final String mService;
    private final long mVersion;
    private final Request mRequest;
    private final Optional<String> mParentId;
    private final long mStartNanos;
    private final List<String> mSteps = new ArrayList<>(2);
    private volatile OptionalLong mSentMillis = OptionalLong.empty();
    private volatile Optional<Candidate> mWithoutWait = Optional.empty();

    ExchangeReporter(
            EntryContext context,
            CallerRequest callerRequest,
            String service,
            long version,
            Request request,
            Optional<String> parentId) {
        mParentId = parentId;
        mContext = context;
        mCallerRequest = callerRequest;
        mService = service;
        mVersion = version;
        mRequest = request;
        mStartNanos = context.ticker().nanos();
    }

    /** Records that the request is sent to a target, and the view of the site it is based on. */
    void recordSend(Candidate candidate, String targetRestriction, QueueingPolicy queueingPolicy) {
        mWithoutWait =
                queueingPolicy == QueueingPolicy.NO_WAIT
                        ? Optional.of(candidate)
                        : Optional.empty();
        mSentMillis = OptionalLong.of(mContext.ticker().millis());
        SiteView view = mContext.observer().siteView();
        recordStep(
                candidate.target().id()
                        + " at "
                        + candidate.target().host()
                        + ' '
                        + targetRestriction
                        + " by revision "
                        + view.position().revision()
                        + " of "
                        + view.ageMillis()
                        + " ms ago");
    }

    /** Records the answer to the latest attempt, and how long it took at a target of its choice. */
    void recordAnswer(Outcome.Answered outcome) {
        recordStep(outcome.toString());
        if (mSentMillis.isPresent() && isSuccess(outcome)) {
            long tookMillis = mContext.ticker().millis() - mSentMillis.getAsLong();
            String routeId = mCallerRequest.route().id();
            mContext.runTimes().recordAnswer(routeId, tookMillis);
            mWithoutWait.ifPresent(
                    one -> mContext.localFirst().recordRun(one, routeId, tookMillis));
        }
    }

    /** Records the outcome of an attempt that ended without an answer. */
    void recordEndedAttempt(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun && notRun.reason() == NotRunReason.BUSY) {
            mContext.metrics().hopsRefusedBusy().inc();
        }
        recordStep(outcome.toString());
    }

    /** Records an outcome or another step. */
    synchronized void recordStep(String step) {
        mSteps.add(step);
    }

    /** Reports the outcome that is sent to the caller. */
    void recordOutcome(Outcome outcome) {
        if (mContext.stop().hasBegun()) {
            recordStep("stop in " + mContext.stop().remainingMillis() + " ms");
        }
        long tookNanos = mContext.ticker().nanos() - mStartNanos;
        mContext.observer().onRequestEnded(mService, outcome);
        mContext.metrics().totalTime().update(tookNanos, TimeUnit.NANOSECONDS);
        boolean successful =
                outcome instanceof Outcome.Answered answered
                        && !HttpStatus.isServerError(answered.status());
        if (!isSuccess(outcome)) {
            mParentId.ifPresent(mContext.observer()::onNestedCallFailed);
        }
        if (successful && !mContext.requestLog().shouldSample()) {
            return;
        }
        mContext.requestLog()
                .logEnded(
                        new RequestLog.EndedRequest(
                                mContext.dialect().requestId(mRequest.getHeaders()),
                                mCallerRequest.route().id(),
                                mService,
                                outcome.toString(),
                                steps(),
                                TimeUnit.NANOSECONDS.toMillis(tookNanos),
                                mVersion,
                                Request.getRemoteAddr(mRequest)));
    }

    private static boolean isSuccess(Outcome outcome) {
        return outcome instanceof Outcome.Answered answered
                && HttpStatus.isSuccess(answered.status());
    }

    private synchronized List<String> steps() {
        return List.copyOf(mSteps);
    }
}
