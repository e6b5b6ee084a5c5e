package org.apricotgauge.bench.allotment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * Plays members' requests against one way to keep them to their limits.
 *
 * <p>Between seconds 5 and 10 one member sends many times its usual; between 8 and 14 a share of
 * the nodes is cut off; at second 16 a share is killed. Requests arrive at random nodes.
 */
final class AllotmentFleet {
    static final double WINDOW_SECONDS = 5;
    private static final long LENGTH_MILLIS = 20_000;
    private static final long HOT_FROM_MILLIS = 5_000;
    private static final long HOT_TO_MILLIS = 10_000;
    private static final long CUT_FROM_MILLIS = 8_000;
    private static final long CUT_TO_MILLIS = 14_000;
    private static final long KILL_AT_MILLIS = 16_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final List<SimulatedMember> mMembers;
    private final int mNodes;
    private final double mFaultShare;
    private final Random mRandom;
    private final List<Deque<Long>> mRuns = new ArrayList<>();
    private final double[] mWorst;
    private long mNowMillis;
    private long mWithin;
    private long mRefusedWithin;

    /** Makes the way under test, given the fleet's clock. */
    @FunctionalInterface
    interface WayFactory {
        AllotmentWay create(AllotmentFleet fleet);
    }

    /**
     * How a course went.
     *
     * @param worstShare most requests run in a window, as a share of what the limit and the
     *     tolerance allow
     * @param refusedShare share of the requests of members within their limits that were refused
     * @param messagesPerSecond datagrams of one node a second
     */
    record Result(double worstShare, double refusedShare, double messagesPerSecond) {}

    AllotmentFleet(List<SimulatedMember> members, int nodes, double faultShare, long seed) {
        mMembers = members;
        mNodes = nodes;
        mFaultShare = faultShare;
        mRandom = new Random(seed);
        mWorst = new double[members.size()];
        members.forEach(member -> mRuns.add(new ArrayDeque<>()));
    }

    long nowMillis() {
        return mNowMillis;
    }

    List<SimulatedMember> members() {
        return mMembers;
    }

    int nodes() {
        return mNodes;
    }

    /**
     * Plays the course.
     *
     * @param overShare share of a limit that is tolerated beyond it in a window
     * @param slack requests in a window that are tolerated besides
     */
    Result play(WayFactory ways, double overShare, double slack) {
        AllotmentWay way = ways.create(this);
        for (mNowMillis = 1; mNowMillis <= LENGTH_MILLIS; mNowMillis++) {
            applyFaults(way);
            way.tick();
            for (int member = 0; member < mMembers.size(); member++) {
                arrivals(way, member, overShare, slack);
            }
        }
        double worst = 0;
        for (double share : mWorst) {
            worst = Math.max(worst, share);
        }
        return new Result(
                worst,
                mWithin == 0 ? 0 : (double) mRefusedWithin / mWithin,
                way.messages() * MILLIS_PER_SECOND / LENGTH_MILLIS / mNodes);
    }

    private void applyFaults(AllotmentWay way) {
        int faulty = (int) (mFaultShare * mNodes);
        for (int node = 0; node < faulty; node++) {
            if (mNowMillis == CUT_FROM_MILLIS || mNowMillis == CUT_TO_MILLIS) {
                way.cut(node, mNowMillis == CUT_FROM_MILLIS);
            }
            if (mNowMillis == KILL_AT_MILLIS) {
                way.restart(mNodes - 1 - node);
            }
        }
    }

    private void arrivals(AllotmentWay way, int member, double overShare, double slack) {
        SimulatedMember who = mMembers.get(member);
        boolean isHot =
                who.hotFactor() > 1 && mNowMillis >= HOT_FROM_MILLIS && mNowMillis < HOT_TO_MILLIS;
        double perMilli = who.usualPerSecond() * (isHot ? who.hotFactor() : 1) / MILLIS_PER_SECOND;
        double left = perMilli;
        while (mRandom.nextDouble() < left) {
            left--;
            boolean counts = who.hotFactor() == 1;
            mWithin += counts ? 1 : 0;
            way.arrives(
                    mRandom.nextInt(mNodes),
                    member,
                    granted -> {
                        if (granted) {
                            ran(member, overShare, slack);
                        } else {
                            mRefusedWithin += counts ? 1 : 0;
                        }
                    });
        }
    }

    private void ran(int member, double overShare, double slack) {
        Deque<Long> runs = mRuns.get(member);
        runs.add(mNowMillis);
        while (runs.peek() <= mNowMillis - WINDOW_SECONDS * MILLIS_PER_SECOND) {
            runs.poll();
        }
        SimulatedMember who = mMembers.get(member);
        double limit = who.limit().requestsPerSecond() * WINDOW_SECONDS + who.limit().burst();
        double allowed = limit * (1 + overShare) + slack;
        mWorst[member] = Math.max(mWorst[member], runs.size() / allowed);
    }
}
