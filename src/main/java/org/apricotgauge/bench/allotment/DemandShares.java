package org.apricotgauge.bench.allotment;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apricotgauge.decision.ratelimit.RateLimitDecision;

/**
 * Nodes tell each other what members asked of them, and each grants its part of the demand
 * (Raghavan et al., "Cloud Control with Distributed Rate Limiting", SIGCOMM 2007).
 *
 * <p>A node that is cut off keeps the part that it had, and so do the others. One that has just
 * started has none until it has told its first demand.
 */
final class DemandShares implements AllotmentWay {
    private static final long TELL_EVERY_MILLIS = 500;
    private static final double GAIN = 0.3;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Part of each limit that is dealt out evenly, so that the first request finds a token. */
    private static final double EVEN_PART = 0.1;

    private final List<SimulatedMember> mMembers;
    private final int mNodes;
    private final LongSupplier mNowMillis;
    private final double[][] mTokens;
    private final double[][] mDemand;
    private final double[][] mShare;
    private final int[][] mAsked;
    private final boolean[] mIsCut;
    private long mMessages;

    DemandShares(List<SimulatedMember> members, int nodes, LongSupplier nowMillis) {
        mMembers = members;
        mNodes = nodes;
        mNowMillis = nowMillis;
        mTokens = new double[nodes][members.size()];
        mDemand = new double[nodes][members.size()];
        mShare = new double[nodes][members.size()];
        mAsked = new int[nodes][members.size()];
        mIsCut = new boolean[nodes];
        for (double[] shares : mShare) {
            Arrays.fill(shares, 1.0 / nodes);
        }
    }

    @Override
    public void arrives(int node, int member, Consumer<RateLimitDecision> verdict) {
        mAsked[node][member]++;
        boolean isGranted = mTokens[node][member] >= 1;
        if (isGranted) {
            mTokens[node][member]--;
        }
        verdict.accept(isGranted ? RateLimitDecision.GRANTED : new RateLimitDecision.Refused(1));
    }

    @Override
    public void tick() {
        for (int member = 0; member < mMembers.size(); member++) {
            SimulatedMember who = mMembers.get(member);
            for (int node = 0; node < mNodes; node++) {
                double share = mShare[node][member];
                double rate = share * who.limit().requestsPerSecond() / MILLIS_PER_SECOND;
                double most = Math.max(1, share * who.limit().burst());
                mTokens[node][member] = Math.min(most, mTokens[node][member] + rate);
            }
        }
        if (mNowMillis.getAsLong() % TELL_EVERY_MILLIS == 0) {
            tell();
        }
    }

    private void tell() {
        int told = 0;
        for (boolean isCut : mIsCut) {
            told += isCut ? 0 : 1;
        }
        mMessages += (long) told * (told - 1);
        for (int member = 0; member < mMembers.size(); member++) {
            share(member);
        }
    }

    private void share(int member) {
        double kept = 0;
        double demand = 0;
        for (int node = 0; node < mNodes; node++) {
            double asked = mAsked[node][member] * MILLIS_PER_SECOND / TELL_EVERY_MILLIS;
            mDemand[node][member] += GAIN * (asked - mDemand[node][member]);
            mAsked[node][member] = 0;
            kept += mIsCut[node] ? mShare[node][member] : 0;
            demand += mIsCut[node] ? 0 : mDemand[node][member];
        }
        double free = Math.max(0, 1 - kept);
        for (int node = 0; node < mNodes; node++) {
            if (!mIsCut[node]) {
                double byDemand = demand == 0 ? 1.0 / mNodes : mDemand[node][member] / demand;
                mShare[node][member] = free * (EVEN_PART / mNodes + (1 - EVEN_PART) * byDemand);
            }
        }
    }

    @Override
    public void cut(int node, boolean isCut) {
        mIsCut[node] = isCut;
    }

    @Override
    public void restart(int node) {
        for (int member = 0; member < mMembers.size(); member++) {
            mTokens[node][member] = 0;
            mDemand[node][member] = 0;
            mShare[node][member] = 0;
        }
    }

    @Override
    public long messages() {
        return mMessages;
    }
}
