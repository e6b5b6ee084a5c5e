package org.apricotgauge.decision.ratelimit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.model.RateLimit;

/**
 * One node's part in keeping members to their limits: asks for tokens, and answers who asks.
 *
 * <pre>{@code
 * desk.take(member, limit, nowMillis, verdict -> ...);   // at once, or once a lender has answered
 * desk.received(from, message, nowMillis);
 * desk.expire(nowMillis);                                // every few milliseconds while one waits
 * }</pre>
 *
 * <p>The home is asked first, then its stand-in, which asks the home on the asker's behalf: the
 * path between asker and home may be the only thing that is broken. It lends itself if the home is
 * silent to it too. One question for a member is under way at a time; requests that come meanwhile
 * share the next. Time and messages are passed in and out; synchronised by its owner.
 */
public final class DistributedRateLimiter {
    /** How long the answer of a lender is awaited, in milliseconds. */
    static final long RESPONSE_TIMEOUT_MILLIS = 150;

    /** A stand-in awaits the home for less, so that its own answer comes in time. */
    static final long FORWARD_TIMEOUT_MILLIS = 100;

    /** How long a lender that did not answer is passed over, in milliseconds. */
    static final long UNRESPONSIVE_MILLIS = 1_000;

    /** A node that has heard nobody for so long may be cut off, in milliseconds. */
    static final long CONTACT_TIMEOUT_MILLIS = 1_000;

    /** Nodes that a node asks for a sign of life before it lends to itself. */
    private static final int CONTACT_PROBES = 3;

    /** How long a refusal stands for the requests that follow, in milliseconds. */
    static final long REFUSAL_CACHE_MILLIS = 50;

    /** Questions passed on at once; what comes beyond is answered here. */
    private static final int MAX_FORWARDED_REQUESTS = 10_000;

    private final Sender mSender;
    private final Function<String, RateLimit> mLimits;
    private final MemberTokenBuckets mTokenBuckets;
    private final FallbackQuota mFallbackQuota;
    private final Map<String, MemberState> mMembers = new HashMap<>();
    private final Map<Long, String> mMemberByRequestId = new HashMap<>();
    private final Map<Long, ForwardedRequest> mForwardedRequests = new HashMap<>();
    private final Map<Address, Long> mUnresponsiveUntilMillis = new HashMap<>();
    private MemberOwners mOwners;
    private long mNextId;
    private long mLastContactMillis;

    /** Sends a message; it may be lost. */
    @FunctionalInterface
    public interface Sender {
        /** Sends a message. */
        void send(Address to, TokenMessage message);
    }

    /** Where a question stands; one lost datagram must not make a second lender. */
    private enum Stage {
        OWNER,
        OWNER_RETRY,
        BACKUP_OWNER,
        /** This node is to lend, once it knows that it is not cut off. */
        CONNECTIVITY_CHECK
    }

    /**
     * A question of this node that is under way.
     *
     * @param id its number
     * @param stage where it stands
     * @param grantor the one that is to lend; null if this node is
     * @param waiting the requests that it is for
     * @param deadlineMillis how long the answer is awaited
     */
    private record PendingRequest(
            long id,
            Stage stage,
            Address grantor,
            List<Consumer<RateLimitDecision>> waiting,
            long deadlineMillis) {}

    /** A question that was passed on to the home. */
    private record ForwardedRequest(
            Address requester, TokenMessage.Request request, Address owner, long deadlineMillis) {}

    /** Requests of one member at this node. */
    private static final class MemberState {
        private final Deque<Consumer<RateLimitDecision>> mQueue = new ArrayDeque<>();
        private RateLimit mLimit;
        private PendingRequest mPending;
        private long mRefusedUntilMillis = Long.MIN_VALUE;
        private long mRetryAtMillis;

        boolean isIdle(long nowMillis) {
            return mPending == null && mQueue.isEmpty() && nowMillis >= mRefusedUntilMillis;
        }
    }

    /** A verdict that is due, to be told once the desk's state is settled. */
    private record PendingDecision(
            Consumer<RateLimitDecision> callback, RateLimitDecision decision) {
        void deliver() {
            callback.accept(decision);
        }
    }

    /**
     * Creates the desk of one node.
     *
     * @param homes the nodes as known now
     * @param sender sends messages to other nodes
     * @param limits limit of a member; null if it has none
     * @param tolerance what the operator tolerates beyond limits
     */
    public DistributedRateLimiter(
            MemberOwners homes,
            Sender sender,
            Function<String, RateLimit> limits,
            FallbackQuota.Tolerance tolerance,
            long nowMillis) {
        mOwners = Checks.notNull("homes", homes);
        mSender = Checks.notNull("sender", sender);
        mLimits = Checks.notNull("limits", limits);
        mTokenBuckets = new MemberTokenBuckets(tolerance, nowMillis);
        mFallbackQuota = new FallbackQuota(tolerance);
        mLastContactMillis = nowMillis - CONTACT_TIMEOUT_MILLIS;
    }

    /** Takes in that nodes came or went. */
    public void fleetChanged(MemberOwners homes, long nowMillis) {
        mOwners = homes;
        mTokenBuckets.fleetChanged(homes::isOwner, nowMillis);
        mUnresponsiveUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        mMembers.values().removeIf(borrower -> borrower.isIdle(nowMillis));
    }

    /** Returns whether a question is under way, so that {@link #expire} has something to do. */
    public boolean hasPendingRequests() {
        return !mMemberByRequestId.isEmpty() || !mForwardedRequests.isEmpty();
    }

    /**
     * Asks for one token.
     *
     * @param limit the member's limit
     * @param request hears the verdict once, perhaps before this returns
     */
    public void acquire(
            String member, RateLimit limit, long nowMillis, Consumer<RateLimitDecision> request) {
        if (mOwners.isOwner(member) && isInContact(nowMillis)) {
            TokenGrant answer =
                    mTokenBuckets.grant(member, limit, 1, MemberTokenBuckets.Role.OWNER, nowMillis);
            request.accept(
                    answer.granted() > 0
                            ? RateLimitDecision.GRANTED
                            : new RateLimitDecision.Refused(answer.retryAfterMillis()));
            return;
        }
        MemberState borrower = mMembers.computeIfAbsent(member, id -> new MemberState());
        if (nowMillis < borrower.mRefusedUntilMillis) {
            request.accept(
                    new RateLimitDecision.Refused(
                            Math.max(1, borrower.mRetryAtMillis - nowMillis)));
            return;
        }
        borrower.mLimit = limit;
        borrower.mQueue.add(request);
        if (borrower.mPending == null) {
            sendNextRequest(member, borrower, nowMillis).forEach(PendingDecision::deliver);
        }
    }

    private List<PendingDecision> sendNextRequest(
            String member, MemberState borrower, long nowMillis) {
        if (borrower.mQueue.isEmpty()) {
            return List.of();
        }
        List<Consumer<RateLimitDecision>> waiting = new ArrayList<>();
        while (!borrower.mQueue.isEmpty() && waiting.size() < TokenMessage.Request.MAX_COUNT) {
            waiting.add(borrower.mQueue.poll());
        }
        Address home = mOwners.owner(member);
        if (mOwners.isOwner(member)) {
            checkConnectivity(member, borrower, waiting, nowMillis);
            return List.of();
        }
        if (isUnresponsive(home, nowMillis)) {
            return requestFromBackupOwner(member, borrower, waiting, nowMillis);
        }
        sendRequest(member, borrower, waiting, Stage.OWNER, home, nowMillis);
        return List.of();
    }

    private List<PendingDecision> requestFromBackupOwner(
            String member,
            MemberState borrower,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        probe(mOwners.owner(member), member);
        Optional<Address> standIn = mOwners.backupOwner(member);
        if (standIn.isPresent() && mOwners.rank(member) == 1) {
            if (!isInContact(nowMillis)) {
                checkConnectivity(member, borrower, waiting, nowMillis);
                return List.of();
            }
            borrower.mPending = null;
            return grantLocally(member, borrower, waiting, nowMillis);
        }
        if (standIn.isEmpty() || isUnresponsive(standIn.get(), nowMillis)) {
            borrower.mPending = null;
            return applyFallbackQuota(member, borrower, waiting, nowMillis);
        }
        sendRequest(member, borrower, waiting, Stage.BACKUP_OWNER, standIn.get(), nowMillis);
        return List.of();
    }

    // Cut off from all others, a home would lend to its own callers what its stand-in lends to the
    // rest of the fleet.
    private boolean isInContact(long nowMillis) {
        return nowMillis - mLastContactMillis < CONTACT_TIMEOUT_MILLIS
                || mOwners.otherNodes(0, 1).isEmpty();
    }

    private void checkConnectivity(
            String member,
            MemberState borrower,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        long id = mNextId++;
        long untilMillis = nowMillis + RESPONSE_TIMEOUT_MILLIS;
        borrower.mPending =
                new PendingRequest(id, Stage.CONNECTIVITY_CHECK, null, waiting, untilMillis);
        mMemberByRequestId.put(id, member);
        for (Address other : mOwners.otherNodes(id, CONTACT_PROBES)) {
            mSender.send(other, new TokenMessage.Request(id, member, 0, true));
        }
    }

    private List<PendingDecision> grantLocally(
            String member,
            MemberState borrower,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        MemberTokenBuckets.Role role =
                mOwners.isOwner(member)
                        ? MemberTokenBuckets.Role.OWNER
                        : MemberTokenBuckets.Role.BACKUP_OWNER;
        TokenGrant answer =
                mTokenBuckets.grant(member, borrower.mLimit, waiting.size(), role, nowMillis);
        return applyGrant(borrower, waiting, answer, nowMillis);
    }

    private void sendRequest(
            String member,
            MemberState borrower,
            List<Consumer<RateLimitDecision>> waiting,
            Stage stage,
            Address to,
            long nowMillis) {
        long id = mNextId++;
        borrower.mPending =
                new PendingRequest(id, stage, to, waiting, nowMillis + RESPONSE_TIMEOUT_MILLIS);
        mMemberByRequestId.put(id, member);
        mSender.send(to, new TokenMessage.Request(id, member, waiting.size(), false));
    }

    // Lost datagrams make a home look silent that lends to others; its answer ends that at once.
    private void probe(Address home, String member) {
        mSender.send(home, new TokenMessage.Request(mNextId++, member, 0, true));
    }

    private boolean isUnresponsive(Address node, long nowMillis) {
        Long untilMillis = mUnresponsiveUntilMillis.get(node);
        return untilMillis != null && nowMillis < untilMillis;
    }

    /** Takes a message of another node. */
    public void received(Address from, TokenMessage message, long nowMillis) {
        mUnresponsiveUntilMillis.remove(from);
        mLastContactMillis = nowMillis;
        if (message instanceof TokenMessage.Request ask) {
            handleRequest(from, ask, nowMillis);
        } else if (message instanceof TokenMessage.Response reply) {
            acquire(reply, nowMillis);
        }
    }

    private void handleRequest(Address asker, TokenMessage.Request ask, long nowMillis) {
        Address home = mOwners.owner(ask.member());
        if (ask.isFinal() || mOwners.isOwner(ask.member()) || home.equals(asker)) {
            respond(asker, ask, nowMillis);
            return;
        }
        if (isUnresponsive(home, nowMillis)
                || mForwardedRequests.size() >= MAX_FORWARDED_REQUESTS) {
            probe(home, ask.member());
            respond(asker, ask, nowMillis);
            return;
        }
        long id = mNextId++;
        mForwardedRequests.put(
                id, new ForwardedRequest(asker, ask, home, nowMillis + FORWARD_TIMEOUT_MILLIS));
        mSender.send(home, new TokenMessage.Request(id, ask.member(), ask.count(), true));
    }

    private void respond(Address asker, TokenMessage.Request ask, long nowMillis) {
        RateLimit limit = mLimits.apply(ask.member());
        // This node's version may not have the member or its limit yet, or not any more.
        TokenGrant answer =
                limit == null
                        ? new TokenGrant(ask.count(), 0)
                        : mTokenBuckets.grant(
                                ask.member(), limit, ask.count(), roleFor(ask), nowMillis);
        mSender.send(asker, new TokenMessage.Response(ask.id(), answer));
    }

    private MemberTokenBuckets.Role roleFor(TokenMessage.Request ask) {
        boolean isHome = ask.isFinal() || mOwners.isOwner(ask.member());
        return isHome ? MemberTokenBuckets.Role.OWNER : MemberTokenBuckets.Role.BACKUP_OWNER;
    }

    private void acquire(TokenMessage.Response reply, long nowMillis) {
        ForwardedRequest relay = mForwardedRequests.remove(reply.id());
        if (relay != null) {
            mSender.send(
                    relay.requester(),
                    new TokenMessage.Response(relay.request().id(), reply.grant()));
            return;
        }
        String member = mMemberByRequestId.remove(reply.id());
        if (member == null) {
            return;
        }
        MemberState borrower = mMembers.get(member);
        PendingRequest question = borrower.mPending;
        borrower.mPending = null;
        List<PendingDecision> told =
                new ArrayList<>(
                        question.stage() == Stage.CONNECTIVITY_CHECK
                                ? grantLocally(member, borrower, question.waiting(), nowMillis)
                                : applyGrant(
                                        borrower, question.waiting(), reply.grant(), nowMillis));
        told.addAll(processQueue(member, borrower, nowMillis));
        told.forEach(PendingDecision::deliver);
    }

    private List<PendingDecision> processQueue(
            String member, MemberState borrower, long nowMillis) {
        if (nowMillis < borrower.mRefusedUntilMillis) {
            List<Consumer<RateLimitDecision>> waiting = new ArrayList<>(borrower.mQueue);
            borrower.mQueue.clear();
            RateLimitDecision refused =
                    new RateLimitDecision.Refused(Math.max(1, borrower.mRetryAtMillis - nowMillis));
            return waiting.stream().map(request -> new PendingDecision(request, refused)).toList();
        }
        List<PendingDecision> told = sendNextRequest(member, borrower, nowMillis);
        if (borrower.isIdle(nowMillis)) {
            mMembers.remove(member);
        }
        return told;
    }

    private static List<PendingDecision> applyGrant(
            MemberState borrower,
            List<Consumer<RateLimitDecision>> waiting,
            TokenGrant answer,
            long nowMillis) {
        List<PendingDecision> told = new ArrayList<>(waiting.size());
        for (int i = 0; i < waiting.size(); i++) {
            boolean isGranted = i < answer.granted();
            told.add(
                    new PendingDecision(
                            waiting.get(i),
                            isGranted
                                    ? RateLimitDecision.GRANTED
                                    : new RateLimitDecision.Refused(
                                            Math.max(1, answer.retryAfterMillis()))));
        }
        if (answer.granted() < waiting.size()) {
            borrower.mRetryAtMillis = nowMillis + answer.retryAfterMillis();
            borrower.mRefusedUntilMillis =
                    nowMillis + Math.min(REFUSAL_CACHE_MILLIS, answer.retryAfterMillis());
        }
        return told;
    }

    private List<PendingDecision> applyFallbackQuota(
            String member,
            MemberState borrower,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        List<PendingDecision> told = new ArrayList<>(waiting.size());
        int rank = mOwners.rank(member);
        for (Consumer<RateLimitDecision> request : waiting) {
            boolean isGranted = mFallbackQuota.tryAcquire(member, borrower.mLimit, rank, nowMillis);
            told.add(
                    new PendingDecision(
                            request,
                            isGranted ? RateLimitDecision.GRANTED : RateLimitDecision.UNKNOWN));
        }
        return told;
    }

    /** Goes on without those that did not answer in time. */
    public void expire(long nowMillis) {
        expireForwardedRequests(nowMillis);
        List<String> late = new ArrayList<>();
        for (String member : mMemberByRequestId.values()) {
            if (nowMillis >= mMembers.get(member).mPending.deadlineMillis()) {
                late.add(member);
            }
        }
        List<PendingDecision> told = new ArrayList<>();
        for (String member : late) {
            told.addAll(handleTimeout(member, mMembers.get(member), nowMillis));
        }
        told.forEach(PendingDecision::deliver);
    }

    private List<PendingDecision> handleTimeout(
            String member, MemberState borrower, long nowMillis) {
        PendingRequest late = borrower.mPending;
        mMemberByRequestId.remove(late.id());
        if (late.stage() == Stage.OWNER) {
            sendRequest(
                    member, borrower, late.waiting(), Stage.OWNER_RETRY, late.grantor(), nowMillis);
            return List.of();
        }
        if (late.grantor() != null) {
            mUnresponsiveUntilMillis.put(late.grantor(), nowMillis + UNRESPONSIVE_MILLIS);
        }
        if (late.stage() == Stage.OWNER_RETRY) {
            List<PendingDecision> told =
                    requestFromBackupOwner(member, borrower, late.waiting(), nowMillis);
            return borrower.mPending == null
                    ? andProcessQueue(told, member, borrower, nowMillis)
                    : told;
        }
        borrower.mPending = null;
        List<PendingDecision> told =
                applyFallbackQuota(member, borrower, late.waiting(), nowMillis);
        return andProcessQueue(told, member, borrower, nowMillis);
    }

    private List<PendingDecision> andProcessQueue(
            List<PendingDecision> told, String member, MemberState borrower, long nowMillis) {
        List<PendingDecision> all = new ArrayList<>(told);
        all.addAll(processQueue(member, borrower, nowMillis));
        return all;
    }

    private void expireForwardedRequests(long nowMillis) {
        List<ForwardedRequest> late = new ArrayList<>();
        for (Iterator<ForwardedRequest> relays = mForwardedRequests.values().iterator();
                relays.hasNext(); ) {
            ForwardedRequest relay = relays.next();
            if (nowMillis >= relay.deadlineMillis()) {
                relays.remove();
                late.add(relay);
            }
        }
        for (ForwardedRequest relay : late) {
            mUnresponsiveUntilMillis.put(relay.owner(), nowMillis + UNRESPONSIVE_MILLIS);
            respond(relay.requester(), relay.request(), nowMillis);
        }
    }

    /** Returns the node that counts the member's tokens. */
    public Address owner(String member) {
        return mOwners.owner(member);
    }
}
