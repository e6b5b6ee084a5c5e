package org.apricotgauge.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.routing.Candidate;
import org.apricotgauge.model.SiteView;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;

/** What one exchange tells counters and the log: the steps that it took, and how it ended. */
final class ExchangeReporter {
    private final EntryContext mContext;
    private final CallerRequest mCallerRequest;
    private final String mService;
    private final long mVersion;
    private final Request mRequest;
    private final Optional<String> mParentId;
    private final long mStartNanos;
    private final List<String> mSteps = new ArrayList<>(2);

    ExchangeReporter(
            EntryContext context,
            CallerRequest asked,
            String service,
            long version,
            Request request,
            Optional<String> parentId) {
        mParentId = parentId;
        mContext = context;
        mCallerRequest = asked;
        mService = service;
        mVersion = version;
        mRequest = request;
        mStartNanos = context.ticker().nanos();
    }

    /** Notes that the request goes to a target, and by which view of the site. */
    void recordSend(Candidate candidate, String caution) {
        SiteView view = mContext.observer().siteView();
        recordStep(
                candidate.target().id()
                        + " at "
                        + candidate.target().host()
                        + ' '
                        + caution
                        + " by revision "
                        + view.revision()
                        + " of "
                        + view.ageMillis()
                        + " ms ago");
    }

    /** Notes a step that is neither a sending nor an outcome. */
    synchronized void recordStep(String step) {
        mSteps.add(step);
    }

    /** Tells what the caller is told. */
    void recordOutcome(Outcome outcome) {
        long tookNanos = mContext.ticker().nanos() - mStartNanos;
        mContext.observer().onRequestEnded(mService, outcome);
        mContext.metrics().totalTime().update(tookNanos, TimeUnit.NANOSECONDS);
        boolean well =
                outcome instanceof Outcome.Answered answered
                        && !HttpStatus.isServerError(answered.status());
        if (!isSuccess(outcome)) {
            mParentId.ifPresent(mContext.observer()::onNestedCallFailed);
        }
        if (well && !mContext.requestLog().shouldSample()) {
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
