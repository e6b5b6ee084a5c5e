package org.apricotgauge.node;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apricotgauge.decision.detection.Membership;
import org.apricotgauge.decision.detection.Observation;
import org.apricotgauge.decision.detection.ObservationEnd;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.detection.ServiceDetector;
import org.apricotgauge.decision.detection.TargetPresence;
import org.apricotgauge.decision.detection.Verdict;
import org.apricotgauge.decision.detection.VerdictState;
import org.apricotgauge.decision.detection.Verdicts;
import org.apricotgauge.log.StateLog;
import org.apricotgauge.model.Configuration;
import org.apricotgauge.model.Service;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Feeds what this node sees to the detectors and puts their verdicts into the routing table.
 *
 * <p>Detectors exist for services that this node has seen work of. Observations come on request
 * threads; decisions are made by the node's ticking thread.
 */
final class DetectionService {
    private final ConcurrentMap<String, Entry> mDetectors = new ConcurrentHashMap<>();
    private final RoutingState mState;
    private final Ticker mTicker;
    private final long mIncarnation;
    private final MetricRegistry mRegistry;
    private final StateLog mLog = new StateLog(Logger.getLogger(DetectionService.class));

    private record Entry(Service service, ServiceDetector detector) {}

    private record TargetChange(String service, String target, String state, String evidence) {}

    DetectionService(RoutingState state, Ticker ticker, long incarnation, MetricRegistry registry) {
        mState = state;
        mTicker = ticker;
        mIncarnation = incarnation;
        mRegistry = registry;
    }

    void observed(Target target, ObservationEnd end, ObservedOutcome outcome, long micros) {
        Service service = mState.table().configuration().service(target.service());
        if (service == null) {
            return;
        }
        detectorOf(service)
                .observe(
                        new Observation(
                                target.id(),
                                end,
                                outcome,
                                micros,
                                mTicker.millis(),
                                Observation.NO_KEY));
    }

    private ServiceDetector detectorOf(Service service) {
        Entry entry = mDetectors.get(service.id());
        if (entry != null && entry.service() == service) {
            return entry.detector();
        }
        // A change of floor or odds starts the evidence afresh: it was weighed by other thresholds.
        return mDetectors
                .compute(
                        service.id(),
                        (id, old) ->
                                old != null && old.service().equals(service)
                                        ? new Entry(service, old.detector())
                                        : new Entry(
                                                service,
                                                new ServiceDetector(service, mIncarnation)))
                .detector();
    }

    /** Decides about every service seen, and publishes what changed. */
    void tick() {
        Configuration configuration = mState.table().configuration();
        for (Map.Entry<String, Entry> detector : mDetectors.entrySet()) {
            if (configuration.service(detector.getKey()) == null) {
                mDetectors.remove(detector.getKey());
                continue;
            }
            decide(detector.getKey(), detector.getValue().detector(), configuration);
        }
    }

    private final Map<String, Verdicts> mLast = new ConcurrentHashMap<>();

    private void decide(String service, ServiceDetector detector, Configuration configuration) {
        Verdicts verdicts = detector.decide(mTicker.millis(), membership(service, configuration));
        Verdicts before = mLast.put(service, verdicts);
        if (before != null && sameWeights(before, verdicts)) {
            return;
        }
        mState.verdictsChanged(service, verdicts);
        logChanges(service, before, verdicts);
    }

    private Membership membership(String service, Configuration configuration) {
        List<Membership.Entry> entries = new ArrayList<>();
        for (Target target : configuration.targetsOf(service)) {
            TargetPresence presence =
                    mState.isLeaving(target) ? TargetPresence.LEAVING : TargetPresence.PRESENT;
            entries.add(new Membership.Entry(target.id(), target.slots(), presence));
        }
        return new Membership(entries);
    }

    private static boolean sameWeights(Verdicts before, Verdicts after) {
        if (!before.byTarget().keySet().equals(after.byTarget().keySet())) {
            return false;
        }
        for (Map.Entry<String, Verdict> entry : after.byTarget().entrySet()) {
            Verdict old = before.byTarget().get(entry.getKey());
            if (old.state() != entry.getValue().state()
                    || old.weight() != entry.getValue().weight()) {
                return false;
            }
        }
        return true;
    }

    private void logChanges(String service, Verdicts before, Verdicts after) {
        for (Verdict verdict : after.byTarget().values()) {
            Verdict old = before == null ? null : before.byTarget().get(verdict.targetId());
            boolean wasOut = old != null && !old.isEligible();
            if (wasOut == !verdict.isEligible()) {
                continue;
            }
            boolean ejected = verdict.state() == VerdictState.EJECTED;
            mRegistry.counter(ejected ? "detection.ejections" : "detection.readmissions").inc();
            mLog.info(
                    ejected ? "target ejected" : "target readmitted",
                    new TargetChange(
                            service,
                            verdict.targetId(),
                            verdict.state().name(),
                            verdict.evidence()));
        }
    }

    /** Returns the last verdicts of a service; null if none were made. */
    Verdicts verdictsOf(String service) {
        return mLast.get(service);
    }
}
