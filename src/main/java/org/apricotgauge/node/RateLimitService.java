package org.apricotgauge.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apricotgauge.caller.MemberRateLimiter;
import org.apricotgauge.decision.ratelimit.DistributedRateLimiter;
import org.apricotgauge.decision.ratelimit.FallbackQuota;
import org.apricotgauge.decision.ratelimit.MemberOwners;
import org.apricotgauge.decision.ratelimit.RateLimitDecision;
import org.apricotgauge.decision.ratelimit.TokenMessage;
import org.apricotgauge.log.StateLog;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Member;
import org.apricotgauge.model.RateLimit;
import org.apricotgauge.operator.AdminSources;
import org.apricotgauge.operator.MemberUse;
import org.apricotgauge.time.Ticker;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jboss.logging.Logger;

/**
 * Runs the {@link DistributedRateLimiter}: sends and receives its datagrams, passes it the time and
 * expires its pending requests.
 */
final class RateLimitService implements MemberRateLimiter, AdminSources.AllotmentSource {
    private static final Logger LOGGER = Logger.getLogger(RateLimitService.class);

    private static final long EXPIRY_INTERVAL_MILLIS = 20;

    /** Members whose requests are counted for operators, at most. */
    private static final int MAX_COUNTED_MEMBERS = 4_096;

    private final StateLog mLog = new StateLog(LOGGER);
    private final RoutingState mState;
    private final Ticker mTicker;
    private final Scheduler mScheduler;
    private final Executor mExecutor;
    private final FallbackQuota.Tolerance mTolerance;
    private final Counter mGranted;
    private final Counter mRefused;
    private final Counter mUnknown;
    private final Counter mMessages;
    private final Counter mOwnerChanges;
    private final Cache<String, Counts> mCounts =
            Caffeine.newBuilder().maximumSize(MAX_COUNTED_MEMBERS).executor(Runnable::run).build();
    private List<Runnable> mDueCallbacks = new ArrayList<>();
    private Set<Address> mOtherNodes = Set.of();
    private boolean mIsListed = true;
    private Address mOwnAddress;
    private DistributedRateLimiter mLimiter;
    private boolean mIsExpiryScheduled;
    private boolean mWasIsolated;
    private volatile DatagramPort mPort;

    /** Decisions on all members' requests at this node, since it started. */
    private record CountedRequests(long granted, long refused, long unknown) {}

    /** Decisions on one member's requests at this node. */
    private static final class Counts {
        private final LongAdder mGranted = new LongAdder();
        private final LongAdder mRefused = new LongAdder();
        private final LongAdder mUnknown = new LongAdder();
    }

    RateLimitService(
            RoutingState state,
            Ticker ticker,
            NodeHttp http,
            FallbackQuota.Tolerance tolerance,
            MetricRegistry registry) {
        mState = state;
        mTicker = ticker;
        mScheduler = http.scheduler();
        mExecutor = http.executor();
        mTolerance = tolerance;
        mGranted = registry.counter("allotments.granted");
        mRefused = registry.counter("allotments.refused");
        mUnknown = registry.counter("allotments.unknown");
        mMessages = registry.counter("allotments.messages_sent");
        mOwnerChanges = registry.counter("allotments.list_changes");
        registry.gauge("allotments.isolated", () -> this::isolated);
    }

    /** Starts to send and handle messages; the caller owns the port and closes it. */
    synchronized void start(Address own, DatagramPort port) {
        mOwnAddress = own;
        mPort = port;
        mLimiter =
                new DistributedRateLimiter(
                        owners(), this::send, this::limitOf, mTolerance, mTicker.millis());
    }

    synchronized void membersChanged(SiteMembers members) {
        Set<Address> others =
                members.peers().stream().map(SiteMembers.Peer::address).collect(Collectors.toSet());
        if (others.equals(mOtherNodes) && members.isListed() == mIsListed) {
            return;
        }
        mOwnerChanges.inc();
        mOtherNodes = others;
        mIsListed = members.isListed();
        if (mLimiter != null) {
            mLimiter.fleetChanged(owners(), mTicker.millis());
        }
    }

    private MemberOwners owners() {
        return MemberOwners.of(mOwnAddress, List.copyOf(mOtherNodes), mIsListed);
    }

    private RateLimit limitOf(String memberId) {
        Member member = mState.table().configuration().member(memberId);
        return member == null ? null : member.limit();
    }

    private void send(Address to, TokenMessage message) {
        mMessages.inc();
        byte[] bytes = TokenMessageCodec.encode(message);
        mPort.send(bytes, to);
    }

    @Override
    public void acquire(Member member, Consumer<RateLimitDecision> callback) {
        Consumer<RateLimitDecision> counted =
                decision -> {
                    count(member.id(), decision);
                    callback.accept(decision);
                };
        runWithLimiter(
                limiter ->
                        limiter.acquire(
                                member.id(),
                                member.limit(),
                                mTicker.millis(),
                                decision -> mDueCallbacks.add(() -> counted.accept(decision))),
                Runnable::run);
    }

    private void count(String member, RateLimitDecision decision) {
        Counts counts = mCounts.get(member, id -> new Counts());
        if (decision instanceof RateLimitDecision.Granted) {
            mGranted.inc();
            counts.mGranted.increment();
        } else if (decision instanceof RateLimitDecision.Refused) {
            mRefused.inc();
            counts.mRefused.increment();
        } else {
            mUnknown.inc();
            counts.mUnknown.increment();
        }
    }

    @Override
    public List<MemberUse> read() {
        return mCounts.asMap().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> useOf(entry.getKey(), entry.getValue()))
                .toList();
    }

    private MemberUse useOf(String member, Counts counts) {
        RateLimit limit = limitOf(member);
        return new MemberUse(
                member,
                limit == null ? 0 : limit.requestsPerSecond(),
                limit == null ? 0 : limit.burst(),
                counts.mGranted.sum(),
                counts.mRefused.sum(),
                counts.mUnknown.sum(),
                ownerOf(member));
    }

    private synchronized String ownerOf(String member) {
        return mLimiter == null ? "" : mLimiter.owner(member).toString();
    }

    /** Handles a message of another node, on the port's thread. */
    void handleMessage(Address from, TokenMessage message) {
        runWithLimiter(limiter -> limiter.received(from, message, mTicker.millis()), mExecutor);
    }

    // Callbacks run outside the lock: they acquire other locks and send messages.
    private void runWithLimiter(Consumer<DistributedRateLimiter> work, Executor executor) {
        List<Runnable> due;
        synchronized (this) {
            work.accept(mLimiter);
            due = mDueCallbacks;
            if (!due.isEmpty()) {
                mDueCallbacks = new ArrayList<>();
            }
            scheduleExpiry();
            logIsolation();
        }
        due.forEach(executor::execute);
    }

    private synchronized int isolated() {
        return mWasIsolated ? 1 : 0;
    }

    private void logIsolation() {
        boolean isIsolated = mLimiter.isIsolated();
        if (isIsolated == mWasIsolated) {
            return;
        }
        mWasIsolated = isIsolated;
        mLog.info(
                isIsolated ? "limits are not counted" : "limits are counted again",
                new CountedRequests(mGranted.getCount(), mRefused.getCount(), mUnknown.getCount()));
    }

    private void scheduleExpiry() {
        if (!mIsExpiryScheduled && mLimiter.hasPendingRequests()) {
            mIsExpiryScheduled = true;
            mScheduler.schedule(this::expire, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void expire() {
        synchronized (this) {
            mIsExpiryScheduled = false;
        }
        runWithLimiter(limiter -> limiter.expire(mTicker.millis()), mExecutor);
    }
}
