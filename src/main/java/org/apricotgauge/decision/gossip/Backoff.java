package org.apricotgauge.decision.gossip;

import java.util.SplittableRandom;
import org.apricotgauge.model.Checks;

/**
 * Delays between failed calls: doubling up to a cap, drawn between zero and that ("full jitter").
 *
 * <p>Without the jitter all callers of a platform that comes back would call at the same moment.
 */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 30;

    private final long mBaseMillis;
    private final long mCapMillis;
    private final SplittableRandom mRandom;
    private int mFailures;

    /** Creates a back-off without failures yet. */
    public Backoff(long baseMillis, long capMillis, long seed) {
        mBaseMillis = Checks.inRange("baseMillis", baseMillis, 1, Integer.MAX_VALUE);
        mCapMillis = Checks.inRange("capMillis", capMillis, baseMillis, Integer.MAX_VALUE);
        mRandom = new SplittableRandom(seed);
    }

    /** Notes a success. */
    public void onSuccess() {
        mFailures = 0;
    }

    /** Notes a failure and returns how long to wait, in milliseconds. */
    public long onFailure() {
        long ceilingMillis =
                Math.min(mCapMillis, mBaseMillis << Math.min(MAX_DOUBLINGS, mFailures));
        mFailures++;
        return mRandom.nextLong(ceilingMillis + 1);
    }

    /** Returns the number of failures since the last success. */
    public int failures() {
        return mFailures;
    }
}
