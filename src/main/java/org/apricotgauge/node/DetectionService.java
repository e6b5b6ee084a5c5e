package org.apricotgauge.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executor;
import org.apricotgauge.decision.detection.ConfiguredTargets;
import org.apricotgauge.decision.detection.EjectionVerdict;
import org.apricotgauge.decision.detection.EjectionVerdicts;
import org.apricotgauge.decision.detection.EvidenceDigest;
import org.apricotgauge.decision.detection.Observation;
import org.apricotgauge.decision.detection.ObservationPoint;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.detection.ServiceDetector;
import org.apricotgauge.decision.detection.TargetPresence;
import org.apricotgauge.decision.detection.VerdictState;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;

/**
 * Passes this node's observations and the evidence of other nodes to the detectors, and publishes
 * their verdicts.
 *
 * <p>Detectors exist for services whose requests this node has observed. Observations are recorded
 * on request threads; decisions are made by the given executor, regularly and when evidence crosses
 * a threshold.
 */
final class DetectionService {
    /** Detectors kept at once, not counting those that keep a target out of service. */
    static final int MAX_DETECTORS = 256;

    private final ConcurrentMap<String, DetectorEntry> mDetectors = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, EjectionVerdicts> mLastVerdicts = new ConcurrentHashMap<>();
    private final RoutingState mState;
    private final Ticker mTicker;
    private final long mIncarnation;
    private final VerdictListener mListener;
    private final Executor mExecutor;

    /** A detector, and whether it has new observations since its last decision. */
    private static final class DetectorEntry {
        private final Service mService;
        private final ServiceDetector mDetector;
        private volatile boolean mHasNewObservations = true;
        private volatile long mUnresponsiveAfterMicros = Long.MAX_VALUE;
        private volatile long mLastUsedMillis;

        private DetectorEntry(Service service, ServiceDetector detector, long nowMillis) {
            mService = service;
            mDetector = detector;
            mLastUsedMillis = nowMillis;
        }

        private void markUsed(long nowMillis) {
            mLastUsedMillis = nowMillis;
            mHasNewObservations = true;
        }
    }

    /** Receives verdicts. */
    @FunctionalInterface
    interface VerdictListener {
        /** Called after each decision; {@code before} is null if there was none. */
        void onVerdicts(String service, EjectionVerdicts before, EjectionVerdicts after);
    }

    DetectionService(
            RoutingState state,
            Ticker ticker,
            long incarnation,
            VerdictListener listener,
            Executor executor) {
        mState = state;
        mTicker = ticker;
        mIncarnation = incarnation;
        mListener = listener;
        mExecutor = executor;
    }

    void recordObservation(
            Target target, ObservationPoint point, ObservedOutcome outcome, long micros) {
        Service service = mState.table().configuration().service(target.service());
        if (service == null) {
            return;
        }
        Observation observation =
                new Observation(
                        target.id(), point, outcome, micros, mTicker.millis(), Observation.NO_KEY);
        if (detectorOf(service, true).observe(observation)) {
            mExecutor.execute(() -> decide(service.id()));
        }
    }

    /**
     * Returns the service time in microseconds after which a target of this VM counts as
     * unresponsive.
     */
    long unresponsiveAfterMicros(Target target) {
        DetectorEntry entry = mDetectors.get(target.service());
        return entry == null ? Long.MAX_VALUE : entry.mUnresponsiveAfterMicros;
    }

    /** Merges evidence that another node's guard sent with a response or by gossip. */
    void mergeRemoteEvidence(String vm, String serviceId, EvidenceDigest digest) {
        Service service = mState.table().configuration().service(serviceId);
        if (service != null) {
            detectorOf(service, true).mergeRemote(vm, digest, mTicker.millis());
        }
    }

    /** Returns this guard's own counts for one target of its VM. */
    EvidenceDigest guardDigest(Target target) {
        Service service = mState.table().configuration().service(target.service());
        if (service == null) {
            return new EvidenceDigest(EvidenceDigest.FORMAT_VERSION, mIncarnation, 0, List.of());
        }
        EvidenceDigest all = detectorOf(service, false).digest();
        List<EvidenceDigest.TargetEvidence> own =
                all.targets().stream()
                        .filter(one -> one.guard() != null && one.targetId().equals(target.id()))
                        .map(
                                one ->
                                        new EvidenceDigest.TargetEvidence(
                                                one.targetId(), one.guard(), null))
                        .toList();
        return new EvidenceDigest(all.formatVersion(), all.incarnation(), all.sequence(), own);
    }

    /** Returns the latest verdicts on a service, or null if there are none. */
    EjectionVerdicts verdictsOf(String service) {
        return mLastVerdicts.get(service);
    }

    /** Decides on services that have new observations, no verdict yet or an unhealthy target. */
    void tick() {
        Configuration configuration = mState.table().configuration();
        mDetectors.keySet().removeIf(id -> configuration.service(id) == null);
        mLastVerdicts.keySet().removeIf(id -> configuration.service(id) == null);
        mDetectors.forEach(
                (service, entry) -> {
                    if (entry.mHasNewObservations
                            || isUndecidedOrUnhealthy(mLastVerdicts.get(service))) {
                        decide(service);
                    }
                });
        evict();
    }

    // A node may serve requests for any of thousands of services, and a detector takes some 50 to
    // 200 KB. Without a bound a node would exceed its memory limit within the hour. The least
    // recently used are evicted first. One that keeps a target out of service is never evicted, as
    // the target would get requests again without it.
    private void evict() {
        int excess = mDetectors.size() - MAX_DETECTORS;
        if (excess <= 0) {
            return;
        }
        mDetectors.entrySet().stream()
                .filter(one -> !isUndecidedOrUnhealthy(mLastVerdicts.get(one.getKey())))
                .sorted(Comparator.comparingLong(one -> one.getValue().mLastUsedMillis))
                .limit(excess)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::removeDetector);
    }

    private void removeDetector(String service) {
        mDetectors.remove(service);
        mLastVerdicts.remove(service);
    }

    private static boolean isUndecidedOrUnhealthy(EjectionVerdicts verdicts) {
        return verdicts == null
                || verdicts.byTarget().values().stream()
                        .anyMatch(one -> one.state() != VerdictState.HEALTHY);
    }

    private ServiceDetector detectorOf(Service service, boolean isUse) {
        DetectorEntry entry = mDetectors.get(service.id());
        if (entry == null || entry.mService != service) {
            entry = mDetectors.compute(service.id(), (id, old) -> updatedEntry(old, service));
        }
        if (isUse) {
            entry.markUsed(mTicker.millis());
        }
        return entry.mDetector;
    }

    /** Keeps the evidence when floor or odds change; later decisions use the new settings. */
    private DetectorEntry updatedEntry(DetectorEntry old, Service service) {
        if (old == null) {
            return new DetectorEntry(
                    service, new ServiceDetector(service, mIncarnation), mTicker.millis());
        }
        old.mDetector.update(service);
        return new DetectorEntry(service, old.mDetector, mTicker.millis());
    }

    private void decide(String service) {
        DetectorEntry entry = mDetectors.get(service);
        if (entry == null) {
            return;
        }
        entry.mHasNewObservations = false;
        // Computed with decisions, not per request, which would wait for the detector's lock.
        entry.mUnresponsiveAfterMicros =
                entry.mDetector.unresponsiveAfterMicros(ObservationPoint.GUARD);
        EjectionVerdicts verdicts =
                entry.mDetector.decide(mTicker.millis(), configuredTargets(service));
        EjectionVerdicts before = mLastVerdicts.put(service, verdicts);
        if (before == null || !hasSameWeights(before, verdicts)) {
            mState.verdictsChanged(service, verdicts);
        }
        mListener.onVerdicts(service, before, verdicts);
    }

    private ConfiguredTargets configuredTargets(String service) {
        List<ConfiguredTargets.ConfiguredTarget> entries = new ArrayList<>();
        for (Target target : mState.table().configuration().targetsOf(service)) {
            TargetPresence presence =
                    mState.isLeaving(target) ? TargetPresence.LEAVING : TargetPresence.PRESENT;
            entries.add(
                    new ConfiguredTargets.ConfiguredTarget(target.id(), target.slots(), presence));
        }
        return new ConfiguredTargets(entries);
    }

    private static boolean hasSameWeights(EjectionVerdicts before, EjectionVerdicts after) {
        if (!before.byTarget().keySet().equals(after.byTarget().keySet())) {
            return false;
        }
        for (Map.Entry<String, EjectionVerdict> entry : after.byTarget().entrySet()) {
            EjectionVerdict old = before.byTarget().get(entry.getKey());
            if (old.state() != entry.getValue().state()
                    || old.weight() != entry.getValue().weight()) {
                return false;
            }
        }
        return true;
    }
}
