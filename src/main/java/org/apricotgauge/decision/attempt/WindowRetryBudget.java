package org.apricotgauge.decision.attempt;

import java.util.Arrays;
import org.apricotgauge.decision.retry.RetryRank;
import org.apricotgauge.model.Checks;

/**
 * One node's part of the retries that a fleet may make in any window, by rank.
 *
 * <pre>{@code
 * WindowRetryBudget budget = new WindowRetryBudget(10_000, startedAtMillis);
 * budget.setBounds(0.1, 2.5);
 * budget.onRequest(now); // for each first attempt
 * if (budget.tryRetry(now, rank)) { ... } // for each further attempt
 * }</pre>
 *
 * <p>Retries are counted over a sliding window, so that a spell of failures can use all that the
 * window allows. A token bucket with the same bound has to divide it between its burst and its
 * refill, and drops what exceeds its capacity.
 *
 * <p>The parts of all nodes add up to the fleet's total although nodes learn of each other at
 * different times: a part shrinks at once and grows after a full window, and a new process gets
 * none for the first window, which its predecessor may have used. The sum is passed when nodes
 * leave the lists for longer than a window while their processes live, and serve meanwhile or
 * return: by the parts that they kept. Within a window, use is paced: a burst may take a quarter of
 * the budget, the rest becomes available evenly.
 *
 * <p>Lower ranks leave as many tokens as higher ones asked for in the last second, unless the
 * budget is full or they have been passed over several times. Thread-safe.
 */
public final class WindowRetryBudget implements RetryBudget {
    private static final int SLICES = 40;
    private static final double BURST_SHARE = 0.25;
    private static final long RESERVE_MILLIS = 1_000;
    private static final double ROUNDING = 1e-9;

    /** Once so many tokens went to higher ranks, a rank that asks for one gets the next. */
    private static final int MAX_PASSED_OVER = 8;

    /** A rank with fewer asks within the reserve's time does not compete for tokens. */
    private static final double MIN_ASKS = 0.5;

    private static final long UNKNOWN = Long.MIN_VALUE;

    private final long mSliceMillis;
    private final long mStartedAtMillis;

    // One slice more than the window, as the current one is incomplete.
    private final int[] mRequests = new int[SLICES + 1];
    private final int[] mRetries = new int[SLICES + 1];
    private long mSlice;

    private final double[] mAsks = new double[RetryRank.COUNT];
    private final int[] mPassedOver = new int[RetryRank.COUNT];
    private long mAsksAtMillis;

    private double mShare;
    private double mPart;
    private double mNextPart;
    private long mNextPartSinceMillis;
    private double mPaced;
    private long mPacedAtMillis;

    /**
     * Creates an empty budget.
     *
     * @param windowMillis length of the window
     * @param startedAtMillis when the process started
     */
    public WindowRetryBudget(long windowMillis, long startedAtMillis) {
        mSliceMillis =
                Math.max(
                        1, Checks.inRange("windowMillis", windowMillis, 1_000, 3_600_000) / SLICES);
        mStartedAtMillis = startedAtMillis;
        mSlice = startedAtMillis / mSliceMillis;
        mAsksAtMillis = startedAtMillis;
        mPacedAtMillis = startedAtMillis;
        mNextPartSinceMillis = startedAtMillis;
    }

    /**
     * Sets the bounds; what was used within the window stays counted.
     *
     * @param share retries per request, from 0 to 1
     * @param part retries in a window in addition
     */
    public synchronized void setBounds(double share, double part) {
        mShare = Checks.inRange("share", share, 0.0, 1.0);
        Checks.inRange("part", part, 0.0, 1_000_000.0);
        if (part == mNextPart) {
            return;
        }
        boolean isFirst = mNextPart == 0 && mPart == 0;
        mNextPart = part;
        mNextPartSinceMillis = isFirst ? mNextPartSinceMillis : UNKNOWN;
    }

    @Override
    public synchronized void onRequest(long nowMillis) {
        advance(nowMillis);
        mRequests[index(mSlice)]++;
    }

    @Override
    public synchronized boolean tryRetry(long nowMillis, RetryRank rank) {
        advance(nowMillis);
        int level = rank.level();
        double left = left();
        double reserve = 0;
        for (int higher = 0; higher < level; higher++) {
            reserve += mAsks[higher];
        }
        mAsks[level]++;
        boolean isFirst = mPassedOver[level] >= MAX_PASSED_OVER || left >= burst() - ROUNDING;
        if (left < 1 - ROUNDING || (!isFirst && left < 1 + reserve)) {
            return false;
        }
        passOver(level);
        take();
        return true;
    }

    private void passOver(int level) {
        mPassedOver[level] = 0;
        for (int lower = level + 1; lower < mAsks.length; lower++) {
            if (mAsks[lower] >= MIN_ASKS) {
                mPassedOver[lower]++;
            }
        }
    }

    @Override
    public synchronized boolean tryRetryIfHalfFull(long nowMillis) {
        advance(nowMillis);
        if (left() < Math.max(1, burst() / 2) - ROUNDING) {
            return false;
        }
        take();
        return true;
    }

    @Override
    public synchronized void charge(long nowMillis) {
        advance(nowMillis);
        take();
    }

    private void take() {
        mRetries[index(mSlice)]++;
        mPaced--;
    }

    private double left() {
        return Math.min(mPaced, allowance() - sum(mRetries, SLICES + 1));
    }

    // The oldest slice has partly left the window: its retries still count, its requests don't.
    private double allowance() {
        return mPart + mShare * sum(mRequests, SLICES);
    }

    private double burst() {
        return Math.max(1, allowance() * BURST_SHARE);
    }

    private int sum(int[] counts, int slices) {
        int sum = 0;
        for (int back = 0; back < slices; back++) {
            sum += counts[index(mSlice - back)];
        }
        return sum;
    }

    private static int index(long slice) {
        return (int) Math.floorMod(slice, (long) SLICES + 1);
    }

    private void advance(long nowMillis) {
        long slice = nowMillis / mSliceMillis;
        if (slice - mSlice > SLICES) {
            Arrays.fill(mRequests, 0);
            Arrays.fill(mRetries, 0);
            mSlice = slice;
        }
        while (mSlice < slice) {
            mSlice++;
            mRequests[index(mSlice)] = 0;
            mRetries[index(mSlice)] = 0;
        }
        advancePart(nowMillis);
        refill(nowMillis);
        decayAsks(nowMillis);
    }

    private void advancePart(long nowMillis) {
        if (mNextPartSinceMillis == UNKNOWN) {
            mNextPartSinceMillis = nowMillis;
        }
        if (mNextPart < mPart || nowMillis - mNextPartSinceMillis >= windowMillis()) {
            mPart = mNextPart;
        }
    }

    private void refill(long nowMillis) {
        if (nowMillis <= mPacedAtMillis) {
            return;
        }
        // What a young process may use came within its uptime.
        long paceMillis =
                Math.max(RESERVE_MILLIS, Math.min(windowMillis(), nowMillis - mStartedAtMillis));
        double elapsed = (double) (nowMillis - mPacedAtMillis) / paceMillis;
        mPaced = Math.min(burst(), mPaced + elapsed * allowance());
        mPacedAtMillis = nowMillis;
    }

    private void decayAsks(long nowMillis) {
        if (nowMillis <= mAsksAtMillis) {
            return;
        }
        double kept = Math.exp((double) (mAsksAtMillis - nowMillis) / RESERVE_MILLIS);
        for (int level = 0; level < mAsks.length; level++) {
            mAsks[level] *= kept;
        }
        mAsksAtMillis = nowMillis;
    }

    private long windowMillis() {
        return mSliceMillis * SLICES;
    }
}
