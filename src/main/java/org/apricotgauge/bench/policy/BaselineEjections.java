package org.apricotgauge.bench.policy;

/** The ejections of a baseline: 30 s times the ejections so far, a third of the targets at most. */
final class BaselineEjections {
    private static final long BASE_MILLIS = 30_000;
    private static final int MAX_PART = 3;

    private final long[] mUntilMillis;
    private final int[] mTimes;
    private int mOut;

    BaselineEjections(int targets) {
        mUntilMillis = new long[targets];
        mTimes = new int[targets];
    }

    void eject(int target, long nowMillis) {
        if (!isEligible(target) || mOut >= mUntilMillis.length / MAX_PART) {
            return;
        }
        mTimes[target]++;
        mOut++;
        mUntilMillis[target] = nowMillis + BASE_MILLIS * mTimes[target];
    }

    void release(long nowMillis) {
        for (int i = 0; i < mUntilMillis.length; i++) {
            if (!isEligible(i) && nowMillis >= mUntilMillis[i]) {
                mUntilMillis[i] = 0;
                mOut--;
            }
        }
    }

    boolean isEligible(int target) {
        return mUntilMillis[target] == 0;
    }
}
