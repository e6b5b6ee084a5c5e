package org.apricotgauge.decision.gossip;

import java.util.SplittableRandom;
import org.apricotgauge.model.Checks;

/**
 * Computes retry delays by exponential backoff with full jitter: the upper bound doubles with each
 * failure up to a cap, and the delay is drawn uniformly between zero and that bound.
 *
 * <p>Without jitter, all clients of a platform that recovers would call it at the same moment.
 */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 30;

    private final long mBaseMillis;
    private final long mCapMillis;
    private final SplittableRandom mRandom;
    private int mFailures;

    /** Creates a backoff with no failures recorded. */
    public Backoff(long baseMillis, long capMillis, long seed) {
        mBaseMillis = Checks.inRange("baseMillis", baseMillis, 1, Integer.MAX_VALUE);
        mCapMillis = Checks.inRange("capMillis", capMillis, baseMillis, Integer.MAX_VALUE);
        mRandom = new SplittableRandom(seed);
    }

    /** Records a success and resets the number of failures. */
    public void onSuccess() {
        mFailures = 0;
    }

    /** Records a failure and returns the delay before the next call, in milliseconds. */
    public long onFailure() {
        long ceilingMillis =
                Math.min(mCapMillis, mBaseMillis << Math.min(MAX_DOUBLINGS, mFailures));
        mFailures++;
        return mRandom.nextLong(ceilingMillis + 1);
    }

    /** Returns the number of consecutive failures since the last success. */
    public int failures() {
        return mFailures;
    }
}
