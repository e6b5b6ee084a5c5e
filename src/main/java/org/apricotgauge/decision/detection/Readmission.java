package org.apricotgauge.decision.detection;

/**
 * The way of one target out of service and back, by a few real requests.
 *
 * <p>While out, a target gets no work for its hold time; then single requests try it. They run
 * Wald's test the other way round: the log-likelihood ratio of the very alternative that ejected
 * the target must fall by a required amount. Each ejection soon after the last doubles the hold
 * time and asks for more evidence, up to a bound, and quiet time takes the price down again: a
 * flapping target costs less and less work, and a mended one is never out for more than the bound.
 */
final class Readmission {
    private static final long BASE_HOLD_MILLIS = 2_000;
    private static final long MAX_HOLD_MILLIS = 300_000;
    private static final long QUIET_MILLIS_PER_STRIKE = 600_000;
    private static final int MAX_STRIKES = 8;
    private static final double BASE_NATS = Math.log(20);
    private static final int MIN_REQUESTS = 2;
    private static final int BASE_MAX_REQUESTS = 8;
    private static final int MAX_REQUESTS_PER_STRIKE = 2;

    /** Evidence of sickness while being tried that sends a target back to its hold time. */
    private static final double RELAPSE_NATS = 2;

    private boolean mIsOut;
    private long mHoldUntilMillis;
    private long mReturnedMillis;
    private int mStrikes;
    private int mRequests;
    private double mNats;

    boolean isOut() {
        return mIsOut;
    }

    int strikes() {
        return mStrikes;
    }

    boolean isTrying(long nowMillis) {
        return mIsOut && nowMillis >= mHoldUntilMillis;
    }

    boolean isPassed(long nowMillis) {
        if (!isTrying(nowMillis) || mRequests < MIN_REQUESTS) {
            return false;
        }
        return mNats >= BASE_NATS + mStrikes * Math.log(2)
                || mRequests >= BASE_MAX_REQUESTS + MAX_REQUESTS_PER_STRIKE * mStrikes;
    }

    long holdUntilMillis() {
        return mHoldUntilMillis;
    }

    void eject(long nowMillis) {
        if (!mIsOut) {
            long quiet = mStrikes == 0 ? 0 : (nowMillis - mReturnedMillis);
            mStrikes = Math.max(0, mStrikes - (int) (quiet / QUIET_MILLIS_PER_STRIKE));
        }
        mIsOut = true;
        hold(nowMillis);
    }

    private void hold(long nowMillis) {
        mHoldUntilMillis = nowMillis + Math.min(MAX_HOLD_MILLIS, BASE_HOLD_MILLIS << mStrikes);
        mStrikes = Math.min(MAX_STRIKES, mStrikes + 1);
        mRequests = 0;
        mNats = 0;
    }

    /** Takes in a request that tried the target, with its score for being sick. */
    void tried(double sickNats, long nowMillis) {
        if (!isTrying(nowMillis)) {
            return;
        }
        mRequests++;
        mNats -= sickNats;
        if (mNats <= -RELAPSE_NATS) {
            hold(nowMillis);
        }
    }

    /** Takes the target back without trial; the price of its ejections stays. */
    void reset() {
        mIsOut = false;
    }

    void readmit(long nowMillis) {
        mIsOut = false;
        mReturnedMillis = nowMillis;
    }
}
