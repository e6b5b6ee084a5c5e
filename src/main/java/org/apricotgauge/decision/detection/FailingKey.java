package org.apricotgauge.decision.detection;

/**
 * Tells whether most of a target's failures are those of one route and member.
 *
 * <p>It keeps the majority candidate of Boyer and Moore (1981), so that a target with thousands of
 * members costs three numbers.
 */
final class FailingKey {
    private static final int MIN_FAILURES = 3;
    private static final int MEMORY_FAILURES = 64;
    private static final double MOST = 0.6;

    private long mKeyHash = Observation.NO_KEY;
    private int mLead;
    private int mFailures;

    void failed(long keyHash) {
        if (mFailures >= MEMORY_FAILURES) {
            mFailures /= 2;
            mLead /= 2;
        }
        mFailures++;
        if (mLead == 0) {
            mKeyHash = keyHash;
        }
        mLead += keyHash == mKeyHash ? 1 : -1;
    }

    void clear() {
        mLead = 0;
        mFailures = 0;
    }

    boolean isMost() {
        return mKeyHash != Observation.NO_KEY
                && mFailures >= MIN_FAILURES
                && mLead >= MOST * mFailures;
    }
}
