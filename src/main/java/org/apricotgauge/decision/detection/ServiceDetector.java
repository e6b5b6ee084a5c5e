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
 * Detects and ejects the gray targets of one service, in one node.
 *
 * <pre>{@code
 * ServiceDetector detector = new ServiceDetector(service, incarnation);
 * if (detector.observe(observation)) {
 *     Verdicts verdicts = detector.decide(ticker.millis(), membership);
 * }
 * }</pre>
 *
 * <p>Each target is tested by Page's CUSUM (Page 1954) for several ways of failing and of being
 * slow, against the other targets of its service. The guards' evidence ejects a target in every
 * node that holds it; this entry's own evidence, with the path in it, in this node alone; other
 * entries' evidence only by quorum, and only for a target without a guard.
 *
 * <p>All methods may be called by any thread; they lock the detector for well under a millisecond.
 * Readers on a request's path read the published {@link EjectionVerdicts} and never lock.
 */
public final class ServiceDetector {
    private static final long UNRESPONSIVE_FACTOR = 2;
    private static final long MAX_EVIDENCE_AGE_MILLIS = 30_000;

    /** A probe costs about 25 ms of a slot: one each 250 ms takes a tenth of one slot. */
    private static final long PROBE_INTERVAL_MILLIS = 250;

    /** How much worse than an ejected target one in service must be, to be ejected in its place. */
    private static final double REPLACEMENT_RATIO = 1.5;

    /** While all targets look sick at once, each request would call for a decision. */
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
     * Makes a detector without evidence.
     *
     * @param service the service, with its floor and odds
     * @param incarnation start of this process, larger than that of earlier ones on this node
     */
    public ServiceDetector(Service service, long incarnation) {
        mService = Checks.notNull("service", service);
        mIncarnation = incarnation;
        mGuardView = new EvidenceView(service.detection());
        mLocalEntryView = new EvidenceView(service.detection());
        mRemote = new RemoteEvidence(service.detection(), mGuardView);
    }

    /**
     * Takes in one request that this node saw end.
     *
     * @return whether a target has crossed its threshold, so that it is time to decide at once and
     *     not at the next regular decision
     */
    public synchronized boolean observe(Observation observation) {
        Checks.notNull("observation", observation);
        boolean isGuard = observation.point() == ObservationPoint.GUARD;
        String targetId = observation.targetId();
        Map<String, LocalCounts> counts = isGuard ? mLocalGuardCounts : mLocalEntryCounts;
        counts.computeIfAbsent(targetId, any -> new LocalCounts()).add(observation);
        int category = Category.of(observation);
        if (category == Category.NONE) {
            return false;
        }
        TargetState standing = mTargetStates.get(targetId);
        if (category == Category.FAILURE && standing != null) {
            standing.failureKey().recordFailure(observation.keyHash());
        }
        EvidenceView view = isGuard ? mGuardView : mLocalEntryView;
        boolean isCrossed = view.add(targetId, category, observation.timeMillis());
        boolean isPassed = recordProbe(view, targetId, category, 1, observation.timeMillis());
        boolean isFresh = observation.timeMillis() - mDecidedMillis < MIN_DECISION_INTERVAL_MILLIS;
        return (isPassed || isCrossed) && !isFresh;
    }

    /**
     * Takes a new version of the service; its floor holds from the next decision on, its odds for
     * the targets' next requests. The evidence is kept.
     */
    public synchronized void update(Service service) {
        mService = Checks.notNull("service", service);
        mGuardView.setOdds(service.detection());
        mLocalEntryView.setOdds(service.detection());
        mRemote.setOdds(service.detection());
    }

    /**
     * Returns the service time after which a request should be observed as {@link
     * ObservedOutcome#UNRESPONSIVE} though it still runs, or {@link Long#MAX_VALUE} while unknown.
     *
     * <p>A target that hangs answers nothing, so that all its evidence would come at the requests'
     * deadlines. Twice the time that all but one in a thousand keep is rare enough that its bin
     * speaks as clearly as a far longer time would.
     */
    public synchronized long unresponsiveAfterMicros(ObservationPoint end) {
        long highMicros =
                (end == ObservationPoint.GUARD ? mGuardView : mLocalEntryView).p999Micros();
        return highMicros == Long.MAX_VALUE ? highMicros : UNRESPONSIVE_FACTOR * highMicros;
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
     * Takes in another node's evidence.
     *
     * @param reporterNode the node that observed it
     * @param digest its counts; one of another format, or not newer than the last, changes nothing
     * @param nowMillis the present time on this node's clock
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

    /** Hands a request that tried an ejected target to its readmission; returns if that passed. */
    private boolean recordProbe(
            EvidenceView view, String targetId, int category, int count, long nowMillis) {
        TargetState standing = mTargetStates.get(targetId);
        if (standing == null || !standing.readmission().isProbing(nowMillis)) {
            return false;
        }
        TargetState.Evidence evidence = standing.evidence();
        if (evidence.view() != view && !isStale(evidence.view(), targetId, nowMillis)) {
            return false;
        }
        double score = view.stream(targetId).score(evidence.finding().test(), category);
        for (int i = 0; i < count; i++) {
            standing.readmission().recordProbe(score, nowMillis);
        }
        return standing.readmission().isPassed(nowMillis);
    }

    private static boolean isStale(EvidenceView view, String targetId, long nowMillis) {
        TargetStream stream = view.stream(targetId);
        return stream == null || nowMillis - stream.lastMillis() > MAX_EVIDENCE_AGE_MILLIS;
    }

    /**
     * Decides about every configured target.
     *
     * @param nowMillis the present time on this node's clock
     * @param membership all configured targets
     * @throws IllegalStateException if an ejection would break the floor, which a fault of this
     *     class alone can bring about
     */
    public synchronized EjectionVerdicts decide(long nowMillis, ConfiguredTargets membership) {
        Checks.notNull("membership", membership);
        mDecidedMillis = nowMillis;
        int floorSlots = mService.floorSlots(membership.configuredSlots());
        updateTargets(membership);
        List<FloorPolicy.Candidate> candidates = new ArrayList<>();
        for (TargetState standing : mTargetStates.values()) {
            updateEvidence(standing, nowMillis);
            if (standing.isCandidate()) {
                candidates.add(candidate(standing));
            }
        }
        Set<String> ejected = FloorPolicy.selectEjections(candidates, membership, floorSlots);
        Map<String, EjectionVerdict> verdicts = new HashMap<>();
        for (TargetState standing : mTargetStates.values()) {
            applyDecision(standing, ejected.contains(standing.targetId()), nowMillis);
            verdicts.put(standing.targetId(), VerdictFactory.verdict(standing, nowMillis));
        }
        int eligibleSlots = FloorPolicy.eligibleSlots(verdicts, membership, floorSlots);
        return new EjectionVerdicts(
                nowMillis, verdicts, floorSlots, eligibleSlots, probesDue(nowMillis));
    }

    private void updateTargets(ConfiguredTargets membership) {
        Set<String> ids = new HashSet<>();
        for (ConfiguredTargets.ConfiguredTarget entry : membership.targets()) {
            ids.add(entry.targetId());
            TargetState standing =
                    mTargetStates.computeIfAbsent(entry.targetId(), id -> new TargetState(id));
            if (standing.presence() != entry.presence()) {
                changePresence(standing, entry.presence());
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

    /** Forgets the evidence against a target that dies or starts: what comes is a new process. */
    private void changePresence(TargetState standing, TargetPresence presence) {
        standing.setPresence(presence);
        if (presence == TargetPresence.TERMINATED || presence == TargetPresence.RAMPING) {
            forEachStream(standing.targetId(), TargetStream::clear);
            standing.readmission().cancelEjection();
        }
    }

    private void updateEvidence(TargetState standing, long nowMillis) {
        if (standing.readmission().isPassed(nowMillis)) {
            standing.readmit(nowMillis);
            forEachStream(standing.targetId(), TargetStream::clearTests);
        }
        String id = standing.targetId();
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
        standing.setEvidence(strongest);
    }

    private static FloorPolicy.Candidate candidate(TargetState standing) {
        double severity = standing.evidence().finding().natsPerSample();
        return new FloorPolicy.Candidate(
                standing.targetId(),
                standing.readmission().isEjected() ? severity * REPLACEMENT_RATIO : severity);
    }

    private void applyDecision(TargetState standing, boolean isEjected, long nowMillis) {
        boolean wasOut = standing.readmission().isEjected();
        if (isEjected && !wasOut) {
            standing.eject(nowMillis);
        }
        if (!isEjected && wasOut && standing.presence() == TargetPresence.PRESENT) {
            // Capacity was lost elsewhere: the evidence stays, but the target serves at once.
            standing.readmit(nowMillis);
        }
        TargetStream.Mode mode = mode(standing);
        mGuardView.setMode(standing.targetId(), mode);
        mLocalEntryView.setMode(standing.targetId(), mode);
        mRemote.forEachView(view -> view.setMode(standing.targetId(), mode));
    }

    private static TargetStream.Mode mode(TargetState standing) {
        boolean isMissing = standing.presence() != TargetPresence.PRESENT;
        if (isMissing || standing.readmission().isEjected()) {
            return TargetStream.Mode.EXCLUDED;
        }
        return standing.evidence().finding().isAlarm()
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

    /** Returns the target that has waited longest to be tried, if the budget allows a probe. */
    private List<String> probesDue(long nowMillis) {
        if (nowMillis - mProbedMillis < PROBE_INTERVAL_MILLIS) {
            return List.of();
        }
        return mTargetStates.values().stream()
                .filter(standing -> standing.presence() == TargetPresence.PRESENT)
                .filter(standing -> standing.readmission().isProbing(nowMillis))
                .min(Comparator.comparingLong(TargetState::probedMillis))
                .map(standing -> startProbe(standing, nowMillis))
                .map(List::of)
                .orElse(List.of());
    }

    private String startProbe(TargetState standing, long nowMillis) {
        mProbedMillis = nowMillis;
        standing.setProbedMillis(nowMillis);
        return standing.targetId();
    }
}
