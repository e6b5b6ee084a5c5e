package org.apricotgauge.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apricotgauge.decision.detection.EjectionVerdict;
import org.apricotgauge.decision.detection.EjectionVerdicts;
import org.apricotgauge.decision.detection.EvidenceDigest;
import org.apricotgauge.decision.detection.VerdictState;
import org.apricotgauge.decision.gossip.GossipItem;
import org.apricotgauge.model.Target;
import org.apricotgauge.time.Ticker;

/**
 * Publishes the guard's evidence about targets that are out of service.
 *
 * <p>Evidence is sent on responses, and an ejected target gives none: without this class, entries
 * that don't probe the target themselves would never learn that it is healthy again. Evidence is
 * published at most every three seconds for each service, only if it changed, and only while one of
 * this VM's targets is unhealthy or has just recovered.
 */
final class EvidencePublisher {
    private static final long INTERVAL_MILLIS = 3_000;
    private static final long LIFETIME_MILLIS = 60_000;

    /** Evidence is published for this long after a recovery, so that every entry receives it. */
    private static final long AFTER_RECOVERY_MILLIS = 10_000;

    private final String mVm;
    private final RoutingState mState;
    private final DetectionService mDetection;
    private final Ticker mTicker;
    private final Map<String, Long> mLastUnhealthyMillis = new HashMap<>();
    private final Map<String, Long> mLastPublishedMillis = new HashMap<>();
    private final Map<String, List<EvidenceDigest.TargetEvidence>> mLastPublished = new HashMap<>();

    /** Sends evidence to the fleet; see {@code ControlPlane.publishEvidence}. */
    @FunctionalInterface
    interface Channel {
        /** Publishes the payload until its lifetime is over or a later sequence replaces it. */
        void publish(String key, long sequence, long lifetimeMillis, byte[] payload);
    }

    EvidencePublisher(String vm, RoutingState state, DetectionService detection, Ticker ticker) {
        mVm = vm;
        mState = state;
        mDetection = detection;
        mTicker = ticker;
    }

    /** Called after each decision, by one thread. */
    void onVerdicts(String service, EjectionVerdicts verdicts, Channel channel) {
        long nowMillis = mTicker.millis();
        List<EvidenceDigest> own = new ArrayList<>();
        for (EjectionVerdict verdict : verdicts.byTarget().values()) {
            Target target = mState.table().target(verdict.targetId());
            boolean isOwn = target != null && target.vm().equals(mVm);
            if (isOwn && isUnhealthyOrJustRecovered(verdict, nowMillis)) {
                own.add(mDetection.guardDigest(target));
            }
        }
        Long lastMillis = mLastPublishedMillis.get(service);
        boolean tooSoon = lastMillis != null && nowMillis - lastMillis < INTERVAL_MILLIS;
        if (own.isEmpty() || tooSoon) {
            return;
        }
        List<EvidenceDigest.TargetEvidence> targets = new ArrayList<>();
        own.forEach(digest -> targets.addAll(digest.targets()));
        // All nodes together may publish 512 bytes a second, so unchanged evidence is not sent.
        if (targets.equals(mLastPublished.put(service, targets))) {
            return;
        }
        mLastPublishedMillis.put(service, nowMillis);
        publish(service, own.get(own.size() - 1), targets, channel);
    }

    private boolean isUnhealthyOrJustRecovered(EjectionVerdict verdict, long nowMillis) {
        if (verdict.state() != VerdictState.HEALTHY) {
            mLastUnhealthyMillis.put(verdict.targetId(), nowMillis);
            return true;
        }
        Long unhealthyMillis = mLastUnhealthyMillis.get(verdict.targetId());
        if (unhealthyMillis == null) {
            return false;
        }
        if (nowMillis - unhealthyMillis > AFTER_RECOVERY_MILLIS) {
            mLastUnhealthyMillis.remove(verdict.targetId());
            return false;
        }
        return true;
    }

    private static void publish(
            String service,
            EvidenceDigest last,
            List<EvidenceDigest.TargetEvidence> targets,
            Channel channel) {
        EvidenceDigest all =
                new EvidenceDigest(
                        last.formatVersion(), last.incarnation(), last.sequence(), targets);
        byte[] payload = EvidenceCodec.encode(all);
        if (!targets.isEmpty() && payload.length <= GossipItem.MAX_PAYLOAD_BYTES) {
            channel.publish(service, last.sequence(), LIFETIME_MILLIS, payload);
        }
    }
}
