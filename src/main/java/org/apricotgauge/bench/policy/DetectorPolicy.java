package org.apricotgauge.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.decision.detection.ConfiguredTargets;
import org.apricotgauge.decision.detection.EjectionVerdicts;
import org.apricotgauge.decision.detection.Observation;
import org.apricotgauge.decision.detection.ObservationPoint;
import org.apricotgauge.decision.detection.ObservedOutcome;
import org.apricotgauge.decision.detection.ServiceDetector;
import org.apricotgauge.decision.detection.TargetPresence;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Service;

/**
 * The policy of the product: a detector, and a second one in another node that hears of the first.
 */
final class DetectorPolicy implements EjectionPolicy {
    private static final long DIGEST_MILLIS = 1_000;
    private static final int ALL_PERCENT = 100;

    private final String[] mIds;
    private final ConfiguredTargets mMembership;
    private final ServiceDetector mDetector;
    private final ServiceDetector mOther;
    private final double[] mWeights;
    private EjectionVerdicts mVerdicts;
    private long mDigestMillis;
    private int mWrongForOthers;

    /**
     * Makes the policy.
     *
     * @param withOther whether the other node is simulated too
     */
    DetectorPolicy(SimulatedPool pool, boolean withOther) {
        Address none = null;
        Service service =
                new Service("pool", SimulatedPool.FLOOR_PERCENT, pool.odds(), 0, ALL_PERCENT, none);
        mIds = new String[pool.targets()];
        List<ConfiguredTargets.ConfiguredTarget> entries = new ArrayList<>();
        for (int i = 0; i < mIds.length; i++) {
            mIds[i] = "t" + i;
            entries.add(
                    new ConfiguredTargets.ConfiguredTarget(
                            mIds[i], pool.slots(), TargetPresence.PRESENT));
        }
        mMembership = new ConfiguredTargets(entries);
        mDetector = new ServiceDetector(service, 1);
        mOther = withOther ? new ServiceDetector(service, 1) : null;
        mWeights = new double[mIds.length];
        decide(0);
    }

    @Override
    public boolean observe(
            int target,
            ObservationPoint end,
            ObservedOutcome outcome,
            long micros,
            long nowMillis) {
        Observation observation =
                new Observation(mIds[target], end, outcome, micros, nowMillis, Observation.NO_KEY);
        if (!mDetector.observe(observation)) {
            return false;
        }
        decide(nowMillis);
        return true;
    }

    @Override
    public void decide(long nowMillis) {
        mVerdicts = mDetector.decide(nowMillis, mMembership);
        for (int i = 0; i < mIds.length; i++) {
            mWeights[i] = mVerdicts.weight(mIds[i]);
        }
        if (mOther != null && nowMillis - mDigestMillis >= DIGEST_MILLIS) {
            mDigestMillis = nowMillis;
            mOther.mergeRemote("entry", mDetector.digest(), nowMillis);
            EjectionVerdicts others = mOther.decide(nowMillis, mMembership);
            for (String id : mIds) {
                boolean isEligible = others.isEligible(id);
                mWrongForOthers += isEligible ? 0 : 1;
            }
        }
    }

    @Override
    public boolean isEligible(int target) {
        return mWeights[target] > 0;
    }

    @Override
    public double weight(int target) {
        return mWeights[target];
    }

    @Override
    public int probeDue() {
        for (int i = 0; i < mIds.length; i++) {
            if (mVerdicts.probesDue().contains(mIds[i])) {
                return i;
            }
        }
        return -1;
    }

    @Override
    public int wrongForOthers() {
        return mWrongForOthers;
    }
}
