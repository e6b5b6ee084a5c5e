package org.apricotgauge.bench.policy;

import org.apricotgauge.decision.detection.ObservationPoint;
import org.apricotgauge.decision.detection.ObservedOutcome;

/**
 * First baseline: five consecutive errors eject a target for 30 s times its ejections.
 *
 * <p>A 503 counts as an error, as in the published rules of outlier detection. At most a third of
 * the targets is out at a time.
 */
final class ConsecutiveErrorsPolicy implements EjectionPolicy {
    private static final int ERRORS = 5;

    private final BaselineEjections mEjections;
    private final int[] mErrors;

    ConsecutiveErrorsPolicy(SimulatedPool pool) {
        mEjections = new BaselineEjections(pool.targets());
        mErrors = new int[pool.targets()];
    }

    @Override
    public boolean observe(
            int target,
            ObservationPoint end,
            ObservedOutcome outcome,
            long micros,
            long nowMillis) {
        mErrors[target] = outcome == ObservedOutcome.SUCCESS ? 0 : mErrors[target] + 1;
        if (mErrors[target] < ERRORS) {
            return false;
        }
        mEjections.eject(target, nowMillis);
        mErrors[target] = 0;
        return true;
    }

    @Override
    public void decide(long nowMillis) {
        mEjections.release(nowMillis);
    }

    @Override
    public boolean isEligible(int target) {
        return mEjections.isEligible(target);
    }
}
