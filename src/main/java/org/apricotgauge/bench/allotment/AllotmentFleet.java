package org.apricotgauge.bench.allotment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.apricotgauge.decision.ratelimit.RateLimitDecision;
import org.apricotgauge.model.RateLimit;

/**
 * Plays members' requests against one way to keep them to their limits.
 *
 * <p>Between seconds 5 and 10 some members send many times their usual. Between 3 and 7 a share of
 * the nodes is missing in the lists of the others, as nodes without a target are; between 4 and 9
 * the same nodes handle messages late; between 8 and 14 a share is cut off; at second 16 a share is
 * killed. Requests arrive at random nodes.
 */
final class AllotmentFleet {
    static final double WINDOW_SECONDS = 5;
    private static final long LENGTH_MILLIS = 20_000;
    private static final long HOT_FROM_MILLIS = 5_000;
    private static final long HOT_TO_MILLIS = 10_000;
    private static final long SLOW_FROM_MILLIS = 4_000;
    private static final long SLOW_TO_MILLIS = 9_000;
    private static final long CUT_FROM_MILLIS = 8_000;
    private static final long CUT_TO_MILLIS = 14_000;
    private static final long UNLIST_FROM_MILLIS = 3_000;
    private static final long UNLIST_TO_MILLIS = 7_000;
    private static final long KILL_AT_MILLIS = 16_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final List<SimulatedMember> mMembers;
    private final int mNodes;
    private final double mFaultShare;
    private final Random mRandom;
    private final List<Deque<Long>> mRuns = new ArrayList<>();
    private final double[] mWorst;
    private long mNowMillis;
    private final TokenReference[] mReferences;
    private long mWithin;
    private long mRefusedWithin;
    private long mUnknownWithin;
    private long mHotWithin;
    private long mHotGranted;

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
     * @param unknownShare share of them that was refused since nobody who counts them was in reach
     * @param hotLostShare requests of hot members that their limits had room for and that did not
     *     run, as a share, without those that nobody in reach counted
     * @param messagesPerSecond datagrams of one node a second
     */
    record Result(
            double worstShare,
            double refusedShare,
            double unknownShare,
            double hotLostShare,
            double messagesPerSecond) {}

    /** Counts the requests of one member that its limit has room for, in the order they come. */
    private static final class TokenReference {
        private final RateLimit mLimit;
        private double mTokens;

        TokenReference(RateLimit limit) {
            mLimit = limit;
            mTokens = limit.burst();
        }

        void accrue() {
            double tokens = mTokens + mLimit.requestsPerSecond() / MILLIS_PER_SECOND;
            mTokens = Math.min(Math.max(1, mLimit.burst()), tokens);
        }

        boolean hasRoom() {
            if (mTokens < 1) {
                return false;
            }
            mTokens--;
            return true;
        }
    }

    AllotmentFleet(List<SimulatedMember> members, int nodes, double faultShare, long seed) {
        mMembers = members;
        mNodes = nodes;
        mFaultShare = faultShare;
        mRandom = new Random(seed);
        mWorst = new double[members.size()];
        members.forEach(member -> mRuns.add(new ArrayDeque<>()));
        mReferences =
                members.stream()
                        .map(member -> new TokenReference(member.limit()))
                        .toArray(TokenReference[]::new);
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
                (double) mRefusedWithin / Math.max(1, mWithin),
                (double) mUnknownWithin / Math.max(1, mWithin),
                (double) Math.max(0, mHotWithin - mHotGranted) / Math.max(1, mHotWithin),
                way.messages() * MILLIS_PER_SECOND / LENGTH_MILLIS / mNodes);
    }

    private void applyFaults(AllotmentWay way) {
        int faulty = (int) (mFaultShare * mNodes);
        if (faulty > 0 && mNowMillis == UNLIST_FROM_MILLIS) {
            way.list(node -> Math.floorMod(node - mNodes / 2, mNodes) >= faulty);
        }
        if (faulty > 0 && mNowMillis == UNLIST_TO_MILLIS) {
            way.list(node -> true);
        }
        for (int node = 0; node < faulty; node++) {
            if (mNowMillis == CUT_FROM_MILLIS || mNowMillis == CUT_TO_MILLIS) {
                way.cut(node, mNowMillis == CUT_FROM_MILLIS);
            }
            if (mNowMillis == SLOW_FROM_MILLIS || mNowMillis == SLOW_TO_MILLIS) {
                way.slow((node + mNodes / 2) % mNodes, mNowMillis == SLOW_FROM_MILLIS);
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
        mReferences[member].accrue();
        double left = perMilli;
        while (mRandom.nextDouble() < left) {
            left--;
            boolean isSteady = who.hotFactor() == 1;
            mWithin += isSteady ? 1 : 0;
            way.arrives(
                    mRandom.nextInt(mNodes),
                    member,
                    decision -> decided(member, isSteady, decision, overShare, slack));
        }
    }

    private void decided(
            int member,
            boolean isSteady,
            RateLimitDecision decision,
            double overShare,
            double slack) {
        boolean isKnown = !(decision instanceof RateLimitDecision.Unknown);
        mHotWithin += !isSteady && isKnown && mReferences[member].hasRoom() ? 1 : 0;
        if (decision instanceof RateLimitDecision.Granted) {
            ran(member, overShare, slack);
            mHotGranted += isSteady ? 0 : 1;
        } else if (decision instanceof RateLimitDecision.Unknown) {
            mUnknownWithin += isSteady ? 1 : 0;
        } else {
            mRefusedWithin += isSteady ? 1 : 0;
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
