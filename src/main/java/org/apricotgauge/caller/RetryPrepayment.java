package org.apricotgauge.caller;

/**
 * Tracks whether the next run of a request is paid for by the guard of its last one.
 *
 * <p>A prepayment covers all attempts up to the first that reaches a target. Not thread-safe.
 */
final class RetryPrepayment {
    private boolean mPrepaid;
    private boolean mNextPrepaid;

    /** Records that the guard of the current attempt has paid for the next run. */
    void onNextPrepaid() {
        mNextPrepaid = true;
    }

    /** Records the end of an attempt, which used the prepayment if it reached a target. */
    void onAttemptEnded(boolean reachedTarget) {
        if (reachedTarget) {
            mPrepaid = mNextPrepaid;
            mNextPrepaid = false;
        }
    }

    /** Sets whether the next run is paid for, after a wait. */
    void set(boolean prepaid) {
        mPrepaid = prepaid;
        mNextPrepaid = false;
    }

    boolean isPrepaid() {
        return mPrepaid;
    }
}
