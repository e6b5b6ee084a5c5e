package org.apricotgauge.bench.policy;

import org.apricotgauge.decision.detection.ObservationPoint;
import org.apricotgauge.decision.detection.ObservedOutcome;

/**
 * Second baseline: each 10 s, a target whose success rate lies 1.9 standard deviations below the
 * pool's mean is ejected for 30 s times its ejections.
 *
 * <p>Only targets with 20 requests in the window take part, and only if they are five or more. At
 * most a third of the targets is out at a time.
 */
final class SuccessRatePolicy implements EjectionPolicy {
    private static final long WINDOW_MILLIS = 10_000;
    private static final int MIN_REQUESTS = 20;
    private static final int MIN_TARGETS = 5;
    private static final double DEVIATIONS = 1.9;

    private final BaselineEjections mEjections;
    private final int[] mRequests;
    private final int[] mSuccesses;
    private long mWindowMillis;

    SuccessRatePolicy(SimulatedPool pool) {
        mEjections = new BaselineEjections(pool.targets());
        mRequests = new int[pool.targets()];
        mSuccesses = new int[pool.targets()];
    }

    @Override
    public boolean observe(
            int target,
            ObservationPoint end,
            ObservedOutcome outcome,
            long micros,
            long nowMillis) {
        mRequests[target]++;
        mSuccesses[target] += outcome == ObservedOutcome.SUCCESS ? 1 : 0;
        return false;
    }

    @Override
    public void decide(long nowMillis) {
        mEjections.release(nowMillis);
        if (nowMillis - mWindowMillis < WINDOW_MILLIS) {
            return;
        }
        mWindowMillis = nowMillis;
        double threshold = threshold();
        for (int i = 0; i < mRequests.length; i++) {
            if (mRequests[i] >= MIN_REQUESTS && rate(i) < threshold) {
                mEjections.eject(i, nowMillis);
            }
            mRequests[i] = 0;
            mSuccesses[i] = 0;
        }
    }

    private double threshold() {
        int targets = 0;
        double sum = 0;
        double squares = 0;
        for (int i = 0; i < mRequests.length; i++) {
            if (mRequests[i] >= MIN_REQUESTS) {
                targets++;
                sum += rate(i);
                squares += rate(i) * rate(i);
            }
        }
        if (targets < MIN_TARGETS) {
            return 0;
        }
        double mean = sum / targets;
        return mean - DEVIATIONS * Math.sqrt(Math.max(0, squares / targets - mean * mean));
    }

    private double rate(int target) {
        return (double) mSuccesses[target] / mRequests[target];
    }

    @Override
    public boolean isEligible(int target) {
        return mEjections.isEligible(target);
    }
}
