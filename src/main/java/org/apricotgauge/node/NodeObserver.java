package org.apricotgauge.node;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.apricotgauge.caller.EntryObserver;
import org.apricotgauge.decision.attempt.FenceAnswer;
import org.apricotgauge.decision.attempt.Outcome;
import org.apricotgauge.decision.detection.ObservationPoint;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.health.DegradationEstimate;
import org.apricotgauge.event.FenceResult;
import org.apricotgauge.event.FenceUsed;
import org.apricotgauge.event.TargetLeaving;
import org.apricotgauge.event.TargetLimited;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.model.SiteView;
import org.apricotgauge.model.StartLimit;
import org.apricotgauge.model.Target;
import org.apricotgauge.operator.OutcomeKind;
import org.apricotgauge.operator.OutcomeWindows;
import org.apricotgauge.target.BrokenRun;
import org.apricotgauge.target.GuardObserver;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.http.HttpFields;

/** Passes the observations of requests to detection, the outcome counts and the timeline. */
final class NodeObserver implements EntryObserver, GuardObserver {
    private static final int FIRST_ERROR_STATUS = 500;

    private final RoutingState mState;
    private final DetectionService mDetection;
    private final EvidenceHeaders mEvidenceHeaders;
    private final OutcomeWindows mWindows;
    private final NodeEvents mEvents;
    private final Supplier<NodeControl> mControl;
    private final Supplier<Optional<HealthReportService>> mHealthReports;
    private final QuarantineService mQuarantine;
    private final RecentRequests mFailedCalls;
    private final RecentRequests mRetries;
    private final RecentRequests mRunningRequests;

    NodeObserver(
            RoutingState state,
            DetectionService detection,
            OutcomeWindows windows,
            NodeEvents events,
            Ticker ticker,
            Supplier<NodeControl> control,
            Supplier<Optional<HealthReportService>> healthReports,
            QuarantineService quarantine,
            int evidenceBytesPerSecond) {
        mState = state;
        mHealthReports = healthReports;
        mQuarantine = quarantine;
        mFailedCalls = new RecentRequests(ticker);
        mRetries = new RecentRequests(ticker);
        mRunningRequests = new RecentRequests(ticker);
        mControl = control;
        mDetection = detection;
        mEvidenceHeaders =
                new EvidenceHeaders(ticker, detection::guardDigest, evidenceBytesPerSecond);
        mWindows = windows;
        mEvents = events;
    }

    @Override
    public void onAttemptEnded(Target target, ObservedOutcome outcome, long totalMicros) {
        mDetection.recordObservation(target, ObservationPoint.ENTRY, outcome, totalMicros);
    }

    @Override
    public void onOutcome(Target target, ObservedOutcome outcome, long serviceMicros) {
        mDetection.recordObservation(target, ObservationPoint.GUARD, outcome, serviceMicros);
    }

    @Override
    public void addAnswerHeaders(Target target, HttpFields.Mutable headers) {
        mEvidenceHeaders.write(target, headers);
        addHopHeaders(headers);
    }

    @Override
    public void addAcknowledgementHeaders(HttpFields.Mutable headers) {
        mControl.get().addAcknowledgementHeaders(headers);
    }

    @Override
    public void onTargetLeaving(Target target) {
        if (mState.recordSelfReportedLeaving(target)) {
            mEvents.record(new TargetLeaving(target.service(), target.id(), "target"));
        }
    }

    @Override
    public void onTargetLimitChanged(Target target, Optional<StartLimit> limit) {
        Double perSecond = limit.map(StartLimit::perSecond).orElse(null);
        mEvents.record(new TargetLimited(target.service(), target.id(), perSecond));
    }

    @Override
    public int nodeCount() {
        return mState.nodeCount();
    }

    @Override
    public boolean isSiteViewFresh() {
        return mControl.get().isSiteViewFresh();
    }

    @Override
    public SiteView siteView() {
        return mControl.get().siteView();
    }

    @Override
    public long addHopHeaders(HttpFields.Mutable headers) {
        headers.put(HeaderNames.CLOCK, mEvents.clockHeader());
        return mControl.get().addHopHeaders(headers);
    }

    @Override
    public long unresponsiveAfterMicros(Target target) {
        return mDetection.unresponsiveAfterMicros(target);
    }

    @Override
    public void onAttemptArrived(Target target, String entryHost, HttpFields headers) {
        mHealthReports.get().ifPresent(reports -> reports.recordUse(target, entryHost));
        mEvents.observe(headers);
        mControl.get().handleHopHeaders(headers);
    }

    @Override
    public void onHealthObserved(
            Target target, DegradationEstimate.Report health, int loadPermille) {
        mHealthReports.get().ifPresent(reports -> reports.sendReport(target, health, loadPermille));
    }

    @Override
    public void onGuardAcknowledged(HttpFields headers, long requestedAtMillis) {
        mControl.get().handleAcknowledgement(headers, requestedAtMillis);
    }

    @Override
    public void onGuardAnswered(Target target, HttpFields headers) {
        mEvents.observe(headers);
        mControl.get().handleHopHeaders(headers);
        EvidenceHeaders.read(headers)
                .ifPresent(
                        digest ->
                                mDetection.mergeRemoteEvidence(
                                        target.vm(), target.service(), digest));
    }

    @Override
    public void onRequestEnded(String service, Outcome outcome) {
        mWindows.count(service, kindOf(outcome));
    }

    private static OutcomeKind kindOf(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun) {
            return OutcomeKind.NOT_RUN;
        }
        if (outcome instanceof Outcome.Answered answered) {
            return answered.status() >= FIRST_ERROR_STATUS
                    ? OutcomeKind.FAILED
                    : OutcomeKind.ANSWERED;
        }
        return OutcomeKind.UNKNOWN;
    }

    @Override
    public void onTargetEnded(Target target, List<BrokenRun> runs) {
        mQuarantine.recordTargetEnd(target, runs);
    }

    @Override
    public void onNestedCallFailed(String parentId) {
        mFailedCalls.add(parentId);
    }

    @Override
    public void onRunStarted(String requestId) {
        mRunningRequests.add(requestId);
    }

    @Override
    public void onRunEnded(String requestId) {
        mRunningRequests.remove(requestId);
    }

    @Override
    public boolean isRunning(String requestId) {
        return mRunningRequests.contains(requestId);
    }

    @Override
    public void onRetryStarted(String requestId) {
        mRetries.add(requestId);
    }

    @Override
    public boolean isRetry(String requestId) {
        return mRetries.contains(requestId);
    }

    @Override
    public boolean hasFailedCall(String requestId) {
        return mFailedCalls.contains(requestId);
    }

    @Override
    public void onFenceEnded(Target target, String attempt, FenceAnswer answer) {
        FenceResult result =
                answer == null || answer.state() == FenceAnswer.State.UNKNOWN_FORGOTTEN
                        ? FenceResult.UNANSWERED
                        : FenceResult.valueOf(answer.state().name().toUpperCase(Locale.ROOT));
        mEvents.record(new FenceUsed(target.service(), target.id(), attempt, result));
    }
}
