package org.apricotgauge.bench.allotment;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import org.apricotgauge.decision.ratelimit.DistributedRateLimiter;
import org.apricotgauge.decision.ratelimit.FallbackQuota;
import org.apricotgauge.decision.ratelimit.MemberOwners;
import org.apricotgauge.decision.ratelimit.RateLimitDecision;
import org.apricotgauge.decision.ratelimit.TokenMessage;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.RateLimit;

/** The product's own way: entries ask the node that counts the member's tokens. */
final class AskedHomes implements AllotmentWay {
    private static final int PORT = 7_000;
    private static final int EXPIRE_EVERY_MILLIS = 20;
    private static final int HOSTS_PER_NET = 200;
    private static final int MAX_DELAY_MILLIS = 3;
    private static final int MAX_SLOW_DELAY_MILLIS = 250;

    private final List<SimulatedMember> mMembers;
    private final LongSupplier mNowMillis;
    private final FallbackQuota.Tolerance mTolerance;
    private final double mLoss;
    private final Random mRandom;
    private final List<Address> mAddresses = new ArrayList<>();
    private final DistributedRateLimiter[] mDesks;
    private final boolean[] mIsCut;
    private final boolean[] mIsSlow;
    private final PriorityQueue<Delivery> mWay =
            new PriorityQueue<>((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
    private IntPredicate mIsListed = node -> true;
    private long mMessages;

    private record Delivery(long atMillis, int from, int to, TokenMessage message) {}

    AskedHomes(
            List<SimulatedMember> members,
            int nodes,
            LongSupplier nowMillis,
            FallbackQuota.Tolerance tolerance,
            double loss,
            long seed) {
        mMembers = members;
        mNowMillis = nowMillis;
        mTolerance = tolerance;
        mLoss = loss;
        mRandom = new Random(seed);
        mDesks = new DistributedRateLimiter[nodes];
        mIsCut = new boolean[nodes];
        mIsSlow = new boolean[nodes];
        for (int node = 0; node < nodes; node++) {
            String host = "10.0." + node / HOSTS_PER_NET + '.' + (1 + node % HOSTS_PER_NET);
            mAddresses.add(new Address(host, PORT));
        }
        for (int node = 0; node < nodes; node++) {
            restart(node);
        }
    }

    private static String nameOf(int member) {
        return "team-" + member;
    }

    private RateLimit limitOf(String member) {
        return mMembers.get(Integer.parseInt(member.substring("team-".length()))).limit();
    }

    @Override
    public void restart(int node) {
        mDesks[node] =
                new DistributedRateLimiter(
                        ownersAt(node),
                        (to, message) -> send(node, mAddresses.indexOf(to), message),
                        this::limitOf,
                        mTolerance,
                        mNowMillis.getAsLong());
    }

    private MemberOwners ownersAt(int node) {
        List<Address> others = new ArrayList<>();
        for (int other = 0; other < mAddresses.size(); other++) {
            if (other != node && mIsListed.test(other)) {
                others.add(mAddresses.get(other));
            }
        }
        return MemberOwners.of(mAddresses.get(node), others, mIsListed.test(node));
    }

    private void send(int from, int to, TokenMessage message) {
        mMessages++;
        if (mIsCut[from] || mIsCut[to] || mRandom.nextDouble() < mLoss) {
            return;
        }
        int maxDelayMillis = mIsSlow[to] ? MAX_SLOW_DELAY_MILLIS : MAX_DELAY_MILLIS;
        long atMillis = mNowMillis.getAsLong() + 1 + mRandom.nextInt(maxDelayMillis);
        mWay.add(new Delivery(atMillis, from, to, message));
    }

    @Override
    public void arrives(int node, int member, Consumer<RateLimitDecision> verdict) {
        mDesks[node].acquire(
                nameOf(member), mMembers.get(member).limit(), mNowMillis.getAsLong(), verdict);
    }

    @Override
    public void tick() {
        long nowMillis = mNowMillis.getAsLong();
        while (!mWay.isEmpty() && mWay.peek().atMillis() <= nowMillis) {
            Delivery next = mWay.poll();
            mDesks[next.to()].received(mAddresses.get(next.from()), next.message(), nowMillis);
        }
        if (nowMillis % EXPIRE_EVERY_MILLIS == 0) {
            for (DistributedRateLimiter desk : mDesks) {
                desk.expire(nowMillis);
            }
        }
    }

    @Override
    public void cut(int node, boolean isCut) {
        mIsCut[node] = isCut;
    }

    @Override
    public void slow(int node, boolean isSlow) {
        mIsSlow[node] = isSlow;
    }

    @Override
    public void list(IntPredicate isListed) {
        mIsListed = isListed;
        for (int node = 0; node < mDesks.length; node++) {
            mDesks[node].fleetChanged(ownersAt(node), mNowMillis.getAsLong());
        }
    }

    @Override
    public long messages() {
        return mMessages;
    }
}
