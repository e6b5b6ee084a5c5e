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

/** Passes on what requests show: to detection, to the counts of each version, to the time line. */
final class NodeObserver implements EntryObserver, GuardObserver {
    private static final int FIRST_ERROR_STATUS = 500;

    private final RoutingState mState;
    private final DetectionService mDetection;
    private final EvidenceShare mShare;
    private final OutcomeWindows mWindows;
    private final NodeEvents mEvents;
    private final Supplier<NodeControl> mControl;
    private final Supplier<Optional<HealthNews>> mNews;
    private final QuarantineService mQuarantine;
    private final RecentRequests mLostCalls;
    private final RecentRequests mRepeats;
    private final RecentRequests mAtWork;

    NodeObserver(
            RoutingState state,
            DetectionService detection,
            OutcomeWindows windows,
            NodeEvents events,
            Ticker ticker,
            Supplier<NodeControl> control,
            Supplier<Optional<HealthNews>> news,
            QuarantineService quarantine,
            int evidenceBytesPerSecond) {
        mState = state;
        mNews = news;
        mQuarantine = quarantine;
        mLostCalls = new RecentRequests(ticker);
        mRepeats = new RecentRequests(ticker);
        mAtWork = new RecentRequests(ticker);
        mControl = control;
        mDetection = detection;
        mShare = new EvidenceShare(ticker, detection::guardDigest, evidenceBytesPerSecond);
        mWindows = windows;
        mEvents = events;
    }

    @Override
    public void onAttemptEnded(Target target, ObservedOutcome outcome, long totalMicros) {
        mDetection.observed(target, ObservationPoint.ENTRY, outcome, totalMicros);
    }

    @Override
    public void onOutcome(Target target, ObservedOutcome outcome, long serviceMicros) {
        mDetection.observed(target, ObservationPoint.GUARD, outcome, serviceMicros);
    }

    @Override
    public void addAnswerHeaders(Target target, HttpFields.Mutable headers) {
        mShare.write(target, headers);
        addHopHeaders(headers);
    }

    @Override
    public void addAcknowledgementHeaders(HttpFields.Mutable headers) {
        mControl.get().beforeAcknowledgement(headers);
    }

    @Override
    public void onTargetLeaving(Target target) {
        if (mState.saysItLeaves(target)) {
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
        return mState.nodes();
    }

    @Override
    public boolean isSiteViewFresh() {
        return mControl.get().isCurrent();
    }

    @Override
    public SiteView siteView() {
        return mControl.get().siteView();
    }

    @Override
    public long addHopHeaders(HttpFields.Mutable headers) {
        headers.put(HeaderNames.CLOCK, mEvents.stamp());
        return mControl.get().beforeHop(headers);
    }

    @Override
    public long unresponsiveAfterMicros(Target target) {
        return mDetection.overdueMicros(target);
    }

    @Override
    public void onAttemptArrived(Target target, String entryHost, HttpFields headers) {
        mNews.get().ifPresent(news -> news.seen(target, entryHost));
        mEvents.observe(headers);
        mControl.get().hopArrived(headers);
    }

    @Override
    public void onHealthObserved(
            Target target, DegradationEstimate.Report health, int loadPermille) {
        mNews.get().ifPresent(news -> news.tell(target, health, loadPermille));
    }

    @Override
    public void onGuardAcknowledged(HttpFields headers, long askedMillis) {
        mControl.get().acknowledged(headers, askedMillis);
    }

    @Override
    public void onGuardAnswered(Target target, HttpFields headers) {
        mEvents.observe(headers);
        mControl.get().hopArrived(headers);
        EvidenceShare.read(headers)
                .ifPresent(digest -> mDetection.heard(target.vm(), target.service(), digest));
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
        mQuarantine.targetEnded(target, runs);
    }

    @Override
    public void onNestedCallFailed(String parentId) {
        mLostCalls.add(parentId);
    }

    @Override
    public void onRunStarted(String requestId) {
        mAtWork.add(requestId);
    }

    @Override
    public void onRunEnded(String requestId) {
        mAtWork.remove(requestId);
    }

    @Override
    public boolean isRunning(String requestId) {
        return mAtWork.contains(requestId);
    }

    @Override
    public void onRetryStarted(String requestId) {
        mRepeats.add(requestId);
    }

    @Override
    public boolean isRetry(String requestId) {
        return mRepeats.contains(requestId);
    }

    @Override
    public boolean hasFailedCall(String requestId) {
        return mLostCalls.contains(requestId);
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
