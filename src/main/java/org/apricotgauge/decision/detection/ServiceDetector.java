package org.apricotgauge.decision.detection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.Service;

/**
 * Detects and ejects the targets of one service with gray failures, in one node.
 *
 * <pre>{@code
 * ServiceDetector detector = new ServiceDetector(service, incarnation);
 * if (detector.observe(observation)) {
 *     EjectionVerdicts verdicts = detector.decide(ticker.millis(), configuredTargets);
 * }
 * }</pre>
 *
 * <p>Each target is tested by Page's CUSUM (Page 1954) for several kinds of failure and slowness,
 * against the other targets of its service. The evidence of guards ejects a target in every node
 * that has this evidence. This entry's own evidence, which includes the path, ejects it in this
 * node alone. The evidence of other entries ejects it only by quorum, and only if the target has no
 * recent guard evidence.
 *
 * <p>Thread-safe; all methods lock the detector for well under a millisecond. The path of a request
 * reads the published {@link EjectionVerdicts} and never locks.
 */
public final class ServiceDetector {
    private static final long UNRESPONSIVE_FACTOR = 2;
    private static final long MAX_EVIDENCE_AGE_MILLIS = 30_000;

    /** A probe takes about 25 ms of a slot, so one every 250 ms takes a tenth of one slot. */
    private static final long PROBE_INTERVAL_MILLIS = 250;

    /**
     * Factor by which a target in service must be worse than an ejected one to be ejected instead.
     */
    private static final double REPLACEMENT_RATIO = 1.5;

    /** While all targets look degraded at once, each request would otherwise trigger a decision. */
    private static final long MIN_DECISION_INTERVAL_MILLIS = 10;

    private Service mService;
    private final long mIncarnation;
    private final EvidenceView mGuardView;
    private final EvidenceView mLocalEntryView;
    private final RemoteEvidence mRemote;
    private final Map<String, TargetState> mTargetStates = new LinkedHashMap<>();
    private final Map<String, LocalCounts> mLocalGuardCounts = new LinkedHashMap<>();
    private final Map<String, LocalCounts> mLocalEntryCounts = new LinkedHashMap<>();
    private long mSequence;
    private long mDecidedMillis = Long.MIN_VALUE / 2;
    private long mProbedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a detector without evidence.
     *
     * @param service the service, with its floor and odds
     * @param incarnation incarnation of this process, larger than that of earlier ones on this node
     */
    public ServiceDetector(Service service, long incarnation) {
        mService = Checks.notNull("service", service);
        mIncarnation = incarnation;
        mGuardView = new EvidenceView(service.detection());
        mLocalEntryView = new EvidenceView(service.detection());
        mRemote = new RemoteEvidence(service.detection(), mGuardView);
    }

    /**
     * Records one request that this node observed.
     *
     * @return whether a target has crossed its threshold or passed its probes, so that a decision
     *     is due at once and not at the next regular time
     */
    public synchronized boolean observe(Observation observation) {
        Checks.notNull("observation", observation);
        boolean isGuard = observation.point() == ObservationPoint.GUARD;
        String targetId = observation.targetId();
        Map<String, LocalCounts> counts = isGuard ? mLocalGuardCounts : mLocalEntryCounts;
        counts.computeIfAbsent(targetId, id -> new LocalCounts()).add(observation);
        int category = Category.of(observation);
        if (category == Category.NONE) {
            return false;
        }
        TargetState target = mTargetStates.get(targetId);
        if (category == Category.FAILURE && target != null) {
            target.failureKey().recordFailure(observation.keyHash());
        }
        EvidenceView view = isGuard ? mGuardView : mLocalEntryView;
        boolean isCrossed = view.add(targetId, category, observation.timeMillis());
        boolean isPassed = recordProbe(view, targetId, category, 1, observation.timeMillis());
        boolean isRecent = observation.timeMillis() - mDecidedMillis < MIN_DECISION_INTERVAL_MILLIS;
        return (isPassed || isCrossed) && !isRecent;
    }

    /**
     * Applies a new version of the service. Its floor takes effect at the next decision, its odds
     * at the targets' next requests; the evidence is kept.
     */
    public synchronized void update(Service service) {
        mService = Checks.notNull("service", service);
        mGuardView.setOdds(service.detection());
        mLocalEntryView.setOdds(service.detection());
        mRemote.setOdds(service.detection());
    }

    /**
     * Returns the service time in microseconds after which a request that still runs should be
     * observed as {@link ObservedOutcome#UNRESPONSIVE}, or {@link Long#MAX_VALUE} while unknown.
     *
     * <p>A target that hangs sends no answers, so that all its evidence would come at the requests'
     * deadlines. Twice the 99.9th percentile is rare enough that its bin is as strong evidence as a
     * far longer time would be.
     */
    public synchronized long unresponsiveAfterMicros(ObservationPoint point) {
        long p999Micros =
                (point == ObservationPoint.GUARD ? mGuardView : mLocalEntryView).p999Micros();
        return p999Micros == Long.MAX_VALUE ? p999Micros : UNRESPONSIVE_FACTOR * p999Micros;
    }

    /** Returns this node's own evidence, to be sent to the other nodes of the service. */
    public synchronized EvidenceDigest digest() {
        mSequence++;
        Set<String> ids = new HashSet<>(mLocalGuardCounts.keySet());
        ids.addAll(mLocalEntryCounts.keySet());
        List<EvidenceDigest.TargetEvidence> targets = new ArrayList<>();
        ids.stream()
                .sorted()
                .forEach(
                        id ->
                                targets.add(
                                        new EvidenceDigest.TargetEvidence(
                                                id,
                                                evidence(mLocalGuardCounts.get(id)),
                                                evidence(mLocalEntryCounts.get(id)))));
        return new EvidenceDigest(EvidenceDigest.FORMAT_VERSION, mIncarnation, mSequence, targets);
    }

    private static EvidenceDigest.EvidenceCounts evidence(LocalCounts counts) {
        return counts == null ? null : counts.evidence();
    }

    /**
     * Merges another node's evidence.
     *
     * @param reporterNode the node that observed it
     * @param digest its counts; ignored if of another format or not newer than the last
     * @param nowMillis the current time on this node's clock
     */
    public synchronized void mergeRemote(
            String reporterNode, EvidenceDigest digest, long nowMillis) {
        Checks.notNull("reporterNode", reporterNode);
        Checks.notNull("digest", digest);
        mRemote.merge(
                reporterNode,
                digest,
                nowMillis,
                (targetId, counts) -> {
                    for (int category = 0; category < counts.length; category++) {
                        if (counts[category] > 0) {
                            recordProbe(
                                    mGuardView, targetId, category, counts[category], nowMillis);
                        }
                    }
                });
    }

    /** Records a probe of an ejected target; returns whether its readmission has passed. */
    private boolean recordProbe(
            EvidenceView view, String targetId, int category, int count, long nowMillis) {
        TargetState target = mTargetStates.get(targetId);
        if (target == null || !target.readmission().isProbing(nowMillis)) {
            return false;
        }
        TargetState.Evidence evidence = target.evidence();
        if (evidence.view() != view && !isStale(evidence.view(), targetId, nowMillis)) {
            return false;
        }
        double score = view.stream(targetId).score(evidence.finding().test(), category);
        for (int i = 0; i < count; i++) {
            target.readmission().recordProbe(score, nowMillis);
        }
        return target.readmission().isPassed(nowMillis);
    }

    private static boolean isStale(EvidenceView view, String targetId, long nowMillis) {
        TargetStream stream = view.stream(targetId);
        return stream == null || nowMillis - stream.lastMillis() > MAX_EVIDENCE_AGE_MILLIS;
    }

    /**
     * Decides on every configured target.
     *
     * @param nowMillis the current time on this node's clock
     * @param configuredTargets all configured targets
     * @throws IllegalStateException if an ejection would break the floor, which only a fault of
     *     this class can cause
     */
    public synchronized EjectionVerdicts decide(
            long nowMillis, ConfiguredTargets configuredTargets) {
        Checks.notNull("configuredTargets", configuredTargets);
        mDecidedMillis = nowMillis;
        int floorSlots = mService.floorSlots(configuredTargets.configuredSlots());
        updateTargets(configuredTargets);
        List<FloorPolicy.Candidate> candidates = new ArrayList<>();
        for (TargetState target : mTargetStates.values()) {
            updateEvidence(target, nowMillis);
            if (target.isCandidate()) {
                candidates.add(candidate(target));
            }
        }
        Set<String> ejected =
                FloorPolicy.selectEjections(candidates, configuredTargets, floorSlots);
        Map<String, EjectionVerdict> verdicts = new HashMap<>();
        for (TargetState target : mTargetStates.values()) {
            applyDecision(target, ejected.contains(target.targetId()), nowMillis);
            verdicts.put(target.targetId(), VerdictFactory.verdict(target, nowMillis));
        }
        int eligibleSlots = FloorPolicy.eligibleSlots(verdicts, configuredTargets, floorSlots);
        return new EjectionVerdicts(
                nowMillis, verdicts, floorSlots, eligibleSlots, probesDue(nowMillis));
    }

    private void updateTargets(ConfiguredTargets configuredTargets) {
        Set<String> ids = new HashSet<>();
        for (ConfiguredTargets.ConfiguredTarget configured : configuredTargets.targets()) {
            ids.add(configured.targetId());
            TargetState target =
                    mTargetStates.computeIfAbsent(configured.targetId(), id -> new TargetState(id));
            if (target.presence() != configured.presence()) {
                changePresence(target, configured.presence());
            }
        }
        if (mTargetStates.keySet().retainAll(ids)) {
            mGuardView.retain(ids);
            mLocalEntryView.retain(ids);
            mRemote.retain(ids);
            mLocalGuardCounts.keySet().retainAll(ids);
            mLocalEntryCounts.keySet().retainAll(ids);
        }
    }

    /**
     * Clears the evidence against a target that terminates or starts: what follows is a new
     * process.
     */
    private void changePresence(TargetState target, TargetPresence presence) {
        target.setPresence(presence);
        if (presence == TargetPresence.TERMINATED || presence == TargetPresence.RAMPING) {
            forEachStream(target.targetId(), TargetStream::clear);
            target.readmission().cancelEjection();
        }
    }

    private void updateEvidence(TargetState target, long nowMillis) {
        if (target.readmission().isPassed(nowMillis)) {
            target.readmit(nowMillis);
            forEachStream(target.targetId(), TargetStream::clearTests);
        }
        String id = target.targetId();
        Finding guards = mGuardView.finding(id);
        Finding entry = mLocalEntryView.finding(id);
        TargetState.Evidence strongest =
                new TargetState.Evidence(
                        mGuardView, VerdictScope.TARGET, "beside the target", guards);
        if (isStale(mGuardView, id, nowMillis)) {
            Finding quorum = mRemote.quorumFinding(id, mGuardView.thresholdNats());
            if (quorum.thresholdRatio() > guards.thresholdRatio()) {
                strongest =
                        new TargetState.Evidence(
                                mLocalEntryView, VerdictScope.TARGET, "several entries", quorum);
            }
        }
        if (entry.thresholdRatio() > strongest.finding().thresholdRatio()) {
            strongest =
                    new TargetState.Evidence(
                            mLocalEntryView, VerdictScope.PATH, "from this entry", entry);
        }
        target.setEvidence(strongest);
    }

    private static FloorPolicy.Candidate candidate(TargetState target) {
        double severity = target.evidence().finding().natsPerSample();
        return new FloorPolicy.Candidate(
                target.targetId(),
                target.readmission().isEjected() ? severity * REPLACEMENT_RATIO : severity);
    }

    private void applyDecision(TargetState target, boolean isEjected, long nowMillis) {
        boolean wasEjected = target.readmission().isEjected();
        if (isEjected && !wasEjected) {
            target.eject(nowMillis);
        }
        if (!isEjected && wasEjected && target.presence() == TargetPresence.PRESENT) {
            // Capacity was lost elsewhere: the evidence stays, but the target returns at once.
            target.readmit(nowMillis);
        }
        TargetStream.Mode mode = mode(target);
        mGuardView.setMode(target.targetId(), mode);
        mLocalEntryView.setMode(target.targetId(), mode);
        mRemote.forEachView(view -> view.setMode(target.targetId(), mode));
    }

    private static TargetStream.Mode mode(TargetState target) {
        boolean isMissing = target.presence() != TargetPresence.PRESENT;
        if (isMissing || target.readmission().isEjected()) {
            return TargetStream.Mode.EXCLUDED;
        }
        return target.evidence().finding().isAlarm()
                ? TargetStream.Mode.KEPT_BY_FLOOR
                : TargetStream.Mode.TESTED;
    }

    private void forEachStream(String targetId, Consumer<TargetStream> action) {
        Consumer<EvidenceView> inView =
                view -> {
                    TargetStream stream = view.stream(targetId);
                    if (stream != null) {
                        action.accept(stream);
                    }
                };
        inView.accept(mGuardView);
        inView.accept(mLocalEntryView);
        mRemote.forEachView(inView);
    }

    /** Returns the target whose last probe is the oldest, if the probe interval has passed. */
    private List<String> probesDue(long nowMillis) {
        if (nowMillis - mProbedMillis < PROBE_INTERVAL_MILLIS) {
            return List.of();
        }
        return mTargetStates.values().stream()
                .filter(target -> target.presence() == TargetPresence.PRESENT)
                .filter(target -> target.readmission().isProbing(nowMillis))
                .min(Comparator.comparingLong(TargetState::probedMillis))
                .map(target -> startProbe(target, nowMillis))
                .map(List::of)
                .orElse(List.of());
    }

    private String startProbe(TargetState target, long nowMillis) {
        mProbedMillis = nowMillis;
        target.setProbedMillis(nowMillis);
        return target.targetId();
    }
}
