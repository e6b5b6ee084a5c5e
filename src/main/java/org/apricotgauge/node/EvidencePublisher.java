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
 * Spreads the guard's evidence about a target that is out of service.
 *
 * <p>Evidence travels on answers, and a target that gets no work gives none: without this, entries
 * that don't try the target themselves would never learn that it is well again. Spoken at most
 * every three seconds for each service, only if something new was seen, and only while one of this
 * VM's targets is out or was until just now.
 */
final class EvidencePublisher {
    private static final long INTERVAL_MILLIS = 3_000;
    private static final long LIFETIME_MILLIS = 60_000;

    /** Evidence goes on this long after a target came back, so that the last entry hears of it. */
    private static final long AFTER_RECOVERY_MILLIS = 10_000;

    private final String mVm;
    private final RoutingState mState;
    private final DetectionService mDetection;
    private final Ticker mTicker;
    private final Map<String, Long> mLastUnhealthyMillis = new HashMap<>();
    private final Map<String, Long> mLastPublishedMillis = new HashMap<>();
    private final Map<String, List<EvidenceDigest.TargetEvidence>> mLastPublished = new HashMap<>();

    /** Carries evidence to the fleet; see {@code ControlPlane.publishEvidence}. */
    @FunctionalInterface
    interface Channel {
        /** Spreads the payload until its lifetime is over or a later sequence replaces it. */
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
            boolean ours = target != null && target.vm().equals(mVm);
            if (ours && isUnhealthyOrJustRecovered(verdict, nowMillis)) {
                own.add(mDetection.guardDigest(target));
            }
        }
        Long spokenMillis = mLastPublishedMillis.get(service);
        boolean tooSoon = spokenMillis != null && nowMillis - spokenMillis < INTERVAL_MILLIS;
        if (own.isEmpty() || tooSoon) {
            return;
        }
        List<EvidenceDigest.TargetEvidence> targets = new ArrayList<>();
        own.forEach(digest -> targets.addAll(digest.targets()));
        // All nodes together may speak 512 bytes a second; nothing new is not worth saying.
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
        Long outMillis = mLastUnhealthyMillis.get(verdict.targetId());
        if (outMillis == null) {
            return false;
        }
        if (nowMillis - outMillis > AFTER_RECOVERY_MILLIS) {
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
