package org.apricotgauge.bench.allotment;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apricotgauge.decision.ratelimit.RateLimitDecision;

/** Each node grants the limit divided by the number of nodes, and asks nobody. */
final class EvenShares implements AllotmentWay {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final List<SimulatedMember> mMembers;
    private final int mNodes;
    private final LongSupplier mNowMillis;
    private final double[][] mTokens;
    private final long[][] mAtMillis;

    EvenShares(List<SimulatedMember> members, int nodes, LongSupplier nowMillis) {
        mMembers = members;
        mNodes = nodes;
        mNowMillis = nowMillis;
        mTokens = new double[nodes][members.size()];
        mAtMillis = new long[nodes][members.size()];
    }

    @Override
    public void arrives(int node, int member, Consumer<RateLimitDecision> verdict) {
        SimulatedMember who = mMembers.get(member);
        double seconds = (mNowMillis.getAsLong() - mAtMillis[node][member]) / MILLIS_PER_SECOND;
        double refilled =
                mTokens[node][member] + seconds * who.limit().requestsPerSecond() / mNodes;
        mTokens[node][member] = Math.min(Math.max(1, who.limit().burst() / mNodes), refilled);
        mAtMillis[node][member] = mNowMillis.getAsLong();
        boolean isGranted = mTokens[node][member] >= 1;
        if (isGranted) {
            mTokens[node][member]--;
        }
        verdict.accept(isGranted ? RateLimitDecision.GRANTED : new RateLimitDecision.Refused(1));
    }

    @Override
    public void tick() {}

    @Override
    public void cut(int node, boolean isCut) {}

    @Override
    public void restart(int node) {
        for (int member = 0; member < mMembers.size(); member++) {
            mTokens[node][member] = 0;
            mAtMillis[node][member] = mNowMillis.getAsLong();
        }
    }

    @Override
    public long messages() {
        return 0;
    }
}
