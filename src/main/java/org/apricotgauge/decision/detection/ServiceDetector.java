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
 * Readers on a request's path read the published {@link Verdicts} and never lock.
 */
public final class ServiceDetector {
    private static final long OVERDUE_FACTOR = 2;
    private static final long GUARD_FRESH_MILLIS = 30_000;

    /** A probe costs about 25 ms of a slot: one each 250 ms takes a tenth of one slot. */
    private static final long PROBE_INTERVAL_MILLIS = 250;

    /** How much worse than an ejected target one in service must be, to be ejected in its place. */
    private static final double EXCHANGE_RATIO = 1.5;

    /** While all targets look sick at once, each request would call for a decision. */
    private static final long MIN_DECIDE_MILLIS = 10;

    private Service mService;
    private final long mIncarnation;
    private final EvidenceView mGuards;
    private final EvidenceView mOwnEntry;
    private final RemoteEvidence mRemote;
    private final Map<String, Standing> mStandings = new LinkedHashMap<>();
    private final Map<String, OwnCounts> mOwnGuardCounts = new LinkedHashMap<>();
    private final Map<String, OwnCounts> mOwnEntryCounts = new LinkedHashMap<>();
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
        mGuards = new EvidenceView(service.detection());
        mOwnEntry = new EvidenceView(service.detection());
        mRemote = new RemoteEvidence(service.detection(), mGuards);
    }

    /**
     * Takes in one request that this node saw end.
     *
     * @return whether a target has crossed its threshold, so that it is time to decide at once and
     *     not at the next regular decision
     */
    public synchronized boolean observe(Observation observation) {
        Checks.notNull("observation", observation);
        boolean isGuard = observation.end() == ObservationEnd.GUARD;
        String targetId = observation.targetId();
        Map<String, OwnCounts> counts = isGuard ? mOwnGuardCounts : mOwnEntryCounts;
        counts.computeIfAbsent(targetId, any -> new OwnCounts()).add(observation);
        int category = Category.of(observation);
        if (category == Category.NONE) {
            return false;
        }
        Standing standing = mStandings.get(targetId);
        if (category == Category.FAILURE && standing != null) {
            standing.failingKey().failed(observation.keyHash());
        }
        EvidenceView view = isGuard ? mGuards : mOwnEntry;
        boolean isCrossed = view.add(targetId, category, observation.timeMillis());
        boolean isPassed = tried(view, targetId, category, 1, observation.timeMillis());
        boolean isFresh = observation.timeMillis() - mDecidedMillis < MIN_DECIDE_MILLIS;
        return (isPassed || isCrossed) && !isFresh;
    }

    /**
     * Takes a new version of the service; its floor holds from the next decision on, its odds for
     * the targets' next requests. The evidence is kept.
     */
    public synchronized void update(Service service) {
        mService = Checks.notNull("service", service);
        mGuards.setOdds(service.detection());
        mOwnEntry.setOdds(service.detection());
        mRemote.setOdds(service.detection());
    }

    /**
     * Returns the service time after which a request should be observed as {@link
     * ObservedOutcome#OVERDUE} though it still runs, or {@link Long#MAX_VALUE} while unknown.
     *
     * <p>A target that hangs answers nothing, so that all its evidence would come at the requests'
     * deadlines. Twice the time that all but one in a thousand keep is rare enough that its bin
     * speaks as clearly as a far longer time would.
     */
    public synchronized long overdueMicros(ObservationEnd end) {
        long highMicros = (end == ObservationEnd.GUARD ? mGuards : mOwnEntry).highMicros();
        return highMicros == Long.MAX_VALUE ? highMicros : OVERDUE_FACTOR * highMicros;
    }

    /** Returns this node's own evidence, to be sent to the other nodes of the service. */
    public synchronized EvidenceDigest digest() {
        mSequence++;
        Set<String> ids = new HashSet<>(mOwnGuardCounts.keySet());
        ids.addAll(mOwnEntryCounts.keySet());
        List<EvidenceDigest.TargetEvidence> targets = new ArrayList<>();
        ids.stream()
                .sorted()
                .forEach(
                        id ->
                                targets.add(
                                        new EvidenceDigest.TargetEvidence(
                                                id,
                                                evidence(mOwnGuardCounts.get(id)),
                                                evidence(mOwnEntryCounts.get(id)))));
        return new EvidenceDigest(EvidenceDigest.FORMAT_VERSION, mIncarnation, mSequence, targets);
    }

    private static EvidenceDigest.EndEvidence evidence(OwnCounts counts) {
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
                            tried(mGuards, targetId, category, counts[category], nowMillis);
                        }
                    }
                });
    }

    /** Hands a request that tried an ejected target to its readmission; returns if that passed. */
    private boolean tried(
            EvidenceView view, String targetId, int category, int count, long nowMillis) {
        Standing standing = mStandings.get(targetId);
        if (standing == null || !standing.readmission().isTrying(nowMillis)) {
            return false;
        }
        Standing.Evidence evidence = standing.evidence();
        if (evidence.view() != view && !isSilent(evidence.view(), targetId, nowMillis)) {
            return false;
        }
        double score = view.stream(targetId).score(evidence.finding().test(), category);
        for (int i = 0; i < count; i++) {
            standing.readmission().tried(score, nowMillis);
        }
        return standing.readmission().isPassed(nowMillis);
    }

    private static boolean isSilent(EvidenceView view, String targetId, long nowMillis) {
        TargetStream stream = view.stream(targetId);
        return stream == null || nowMillis - stream.lastMillis() > GUARD_FRESH_MILLIS;
    }

    /**
     * Decides about every configured target.
     *
     * @param nowMillis the present time on this node's clock
     * @param membership all configured targets
     * @throws IllegalStateException if an ejection would break the floor, which a fault of this
     *     class alone can bring about
     */
    public synchronized Verdicts decide(long nowMillis, Membership membership) {
        Checks.notNull("membership", membership);
        mDecidedMillis = nowMillis;
        int floorSlots = mService.floorSlots(membership.configuredSlots());
        follow(membership);
        List<FloorPolicy.Candidate> candidates = new ArrayList<>();
        for (Standing standing : mStandings.values()) {
            weigh(standing, nowMillis);
            if (standing.isCandidate()) {
                candidates.add(candidate(standing));
            }
        }
        Set<String> ejected = FloorPolicy.choose(candidates, membership, floorSlots);
        Map<String, Verdict> verdicts = new HashMap<>();
        for (Standing standing : mStandings.values()) {
            settle(standing, ejected.contains(standing.targetId()), nowMillis);
            verdicts.put(standing.targetId(), VerdictFactory.verdict(standing, nowMillis));
        }
        int eligibleSlots = FloorPolicy.eligibleSlots(verdicts, membership, floorSlots);
        return new Verdicts(nowMillis, verdicts, floorSlots, eligibleSlots, probesDue(nowMillis));
    }

    private void follow(Membership membership) {
        Set<String> ids = new HashSet<>();
        for (Membership.Entry entry : membership.entries()) {
            ids.add(entry.targetId());
            Standing standing =
                    mStandings.computeIfAbsent(entry.targetId(), id -> new Standing(id));
            if (standing.presence() != entry.presence()) {
                changePresence(standing, entry.presence());
            }
        }
        if (mStandings.keySet().retainAll(ids)) {
            mGuards.retain(ids);
            mOwnEntry.retain(ids);
            mRemote.retain(ids);
            mOwnGuardCounts.keySet().retainAll(ids);
            mOwnEntryCounts.keySet().retainAll(ids);
        }
    }

    /** Forgets the evidence against a target that dies or starts: what comes is a new process. */
    private void changePresence(Standing standing, TargetPresence presence) {
        standing.setPresence(presence);
        if (presence == TargetPresence.DEAD || presence == TargetPresence.RAMPING) {
            forEachStream(standing.targetId(), TargetStream::clear);
            standing.readmission().reset();
        }
    }

    private void weigh(Standing standing, long nowMillis) {
        if (standing.readmission().isPassed(nowMillis)) {
            standing.readmit(nowMillis);
            forEachStream(standing.targetId(), TargetStream::clearTests);
        }
        String id = standing.targetId();
        Finding guards = mGuards.finding(id);
        Finding entry = mOwnEntry.finding(id);
        Standing.Evidence strongest =
                new Standing.Evidence(mGuards, VerdictScope.TARGET, "beside the target", guards);
        if (isSilent(mGuards, id, nowMillis)) {
            Finding quorum = mRemote.quorum(id, mGuards.thresholdNats());
            if (quorum.share() > guards.share()) {
                strongest =
                        new Standing.Evidence(
                                mOwnEntry, VerdictScope.TARGET, "several entries", quorum);
            }
        }
        if (entry.share() > strongest.finding().share()) {
            strongest =
                    new Standing.Evidence(mOwnEntry, VerdictScope.PATH, "from this entry", entry);
        }
        standing.setEvidence(strongest);
    }

    private static FloorPolicy.Candidate candidate(Standing standing) {
        double severity = standing.evidence().finding().natsPerSample();
        return new FloorPolicy.Candidate(
                standing.targetId(),
                standing.readmission().isOut() ? severity * EXCHANGE_RATIO : severity);
    }

    private void settle(Standing standing, boolean isEjected, long nowMillis) {
        boolean wasOut = standing.readmission().isOut();
        if (isEjected && !wasOut) {
            standing.eject(nowMillis);
        }
        if (!isEjected && wasOut && standing.presence() == TargetPresence.PRESENT) {
            // Capacity was lost elsewhere: the evidence stays, but the target serves at once.
            standing.readmit(nowMillis);
        }
        TargetStream.Mode mode = mode(standing);
        mGuards.setMode(standing.targetId(), mode);
        mOwnEntry.setMode(standing.targetId(), mode);
        mRemote.forEachView(view -> view.setMode(standing.targetId(), mode));
    }

    private static TargetStream.Mode mode(Standing standing) {
        boolean isMissing = standing.presence() != TargetPresence.PRESENT;
        if (isMissing || standing.readmission().isOut()) {
            return TargetStream.Mode.OUT;
        }
        return standing.evidence().finding().isAlarm()
                ? TargetStream.Mode.HELD
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
        inView.accept(mGuards);
        inView.accept(mOwnEntry);
        mRemote.forEachView(inView);
    }

    /** Returns the target that has waited longest to be tried, if the budget allows a probe. */
    private List<String> probesDue(long nowMillis) {
        if (nowMillis - mProbedMillis < PROBE_INTERVAL_MILLIS) {
            return List.of();
        }
        return mStandings.values().stream()
                .filter(standing -> standing.presence() == TargetPresence.PRESENT)
                .filter(standing -> standing.readmission().isTrying(nowMillis))
                .min(Comparator.comparingLong(Standing::probedMillis))
                .map(standing -> probe(standing, nowMillis))
                .map(List::of)
                .orElse(List.of());
    }

    private String probe(Standing standing, long nowMillis) {
        mProbedMillis = nowMillis;
        standing.setProbedMillis(nowMillis);
        return standing.targetId();
    }
}
