package org.apricotgauge.decision.detection;

/**
 * Detects whether most of a target's failures are those of one route and member.
 *
 * <p>Uses the majority vote of Boyer and Moore (1981), so that a target with thousands of members
 * needs only three numbers.
 */
final class DominantFailureKey {
    private static final int MIN_FAILURES = 3;
    private static final int MAX_COUNTED_FAILURES = 64;
    private static final double DOMINANT_SHARE = 0.6;

    private long mCandidateHash = Observation.NO_KEY;
    private int mLead;
    private int mFailures;

    void recordFailure(long keyHash) {
        if (mFailures >= MAX_COUNTED_FAILURES) {
            mFailures /= 2;
            mLead /= 2;
        }
        mFailures++;
        if (mLead == 0) {
            mCandidateHash = keyHash;
        }
        mLead += keyHash == mCandidateHash ? 1 : -1;
    }

    void clear() {
        mLead = 0;
        mFailures = 0;
    }

    boolean isDominant() {
        return mCandidateHash != Observation.NO_KEY
                && mFailures >= MIN_FAILURES
                && mLead >= DOMINANT_SHARE * mFailures;
    }
}
