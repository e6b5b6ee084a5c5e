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
 * Enforces the rate limits of members across all nodes: requests tokens from other nodes, and
 * grants tokens to them.
 *
 * <pre>{@code
 * limiter.acquire(member, limit, nowMillis, decision -> ...);   // at once, or after a response
 * limiter.received(from, message, nowMillis);
 * limiter.expire(nowMillis);   // every few milliseconds while requests are pending
 * }</pre>
 *
 * <p>A request goes to the owner of the member. If the owner does not respond, the request goes to
 * the backup owner, which forwards it to the owner, since only the path between requester and owner
 * may be broken. The backup owner grants tokens itself if the owner does not respond to it either.
 * Each member has at most one pending request; callers that arrive meanwhile share the next one.
 * The time and received messages are passed in; messages are sent through a {@link Sender}. Not
 * thread-safe; the caller must synchronize.
 */
public final class DistributedRateLimiter {
    /** Timeout of a request, in milliseconds. */
    static final long RESPONSE_TIMEOUT_MILLIS = 150;

    /** Timeout of a forwarded request; shorter, so that the backup owner's response is in time. */
    static final long FORWARD_TIMEOUT_MILLIS = 100;

    /** How long a node that did not respond is skipped, in milliseconds. */
    static final long UNRESPONSIVE_MILLIS = 1_000;

    /** A node that has received no message for this long may be isolated, in milliseconds. */
    static final long CONTACT_TIMEOUT_MILLIS = 1_000;

    /** Nodes that a possibly isolated node probes before it grants tokens to itself. */
    private static final int CONTACT_PROBES = 3;

    /** How long a refusal is reused for the callers that follow, in milliseconds. */
    static final long REFUSAL_CACHE_MILLIS = 50;

    /** Maximum number of concurrently forwarded requests; this node answers any others itself. */
    private static final int MAX_FORWARDED = 10_000;

    private final Sender mSender;
    private final Function<String, RateLimit> mLimits;
    private final MemberTokenBuckets mTokenBuckets;
    private final FallbackQuota mFallbackQuota;
    private final Map<String, MemberState> mMembers = new HashMap<>();
    private final Map<Long, String> mMemberByRequestId = new HashMap<>();
    private final Map<Long, ForwardedRequest> mForwarded = new HashMap<>();
    private final Map<Address, Long> mUnresponsiveUntilMillis = new HashMap<>();
    private MemberOwners mOwners;
    private long mNextId;
    private long mLastContactMillis;

    /** Sends messages, which may be lost. */
    @FunctionalInterface
    public interface Sender {
        /** Sends a message. */
        void send(Address to, TokenMessage message);
    }

    /** State of a request; retrying the owner avoids a second grantor after a lost datagram. */
    private enum Stage {
        OWNER,
        OWNER_RETRY,
        BACKUP_OWNER,
        /** This node is to grant the tokens once a response shows that it is not isolated. */
        CONNECTIVITY_CHECK
    }

    /**
     * A pending request of this node.
     *
     * @param id identifies the request
     * @param stage state of the request
     * @param grantor the node that is to grant the tokens; null if this node is
     * @param waiting callbacks of the callers that wait for the response
     * @param deadlineMillis when the request times out
     */
    private record PendingRequest(
            long id,
            Stage stage,
            Address grantor,
            List<Consumer<RateLimitDecision>> waiting,
            long deadlineMillis) {}

    /** A request that was forwarded to the owner. */
    private record ForwardedRequest(
            Address requester, TokenMessage.Request request, Address owner, long deadlineMillis) {}

    /** State of one member at this node. */
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

    /** A decision that is delivered once the state of the limiter is consistent. */
    private record PendingDecision(
            Consumer<RateLimitDecision> callback, RateLimitDecision decision) {
        void deliver() {
            callback.accept(decision);
        }
    }

    /**
     * Creates the limiter of one node.
     *
     * @param owners the owners of members among the nodes currently known
     * @param sender sends messages to other nodes
     * @param limits returns the limit of a member; null if it has none
     * @param tolerance what the operator tolerates beyond limits
     */
    public DistributedRateLimiter(
            MemberOwners owners,
            Sender sender,
            Function<String, RateLimit> limits,
            FallbackQuota.Tolerance tolerance,
            long nowMillis) {
        mOwners = Checks.notNull("owners", owners);
        mSender = Checks.notNull("sender", sender);
        mLimits = Checks.notNull("limits", limits);
        mTokenBuckets = new MemberTokenBuckets(tolerance, nowMillis);
        mFallbackQuota = new FallbackQuota(tolerance);
        mLastContactMillis = nowMillis - CONTACT_TIMEOUT_MILLIS;
    }

    /** Called when nodes joined or left. */
    public void fleetChanged(MemberOwners owners, long nowMillis) {
        mOwners = owners;
        mTokenBuckets.fleetChanged(owners::isOwner, nowMillis);
        mUnresponsiveUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        mMembers.values().removeIf(state -> state.isIdle(nowMillis));
    }

    /** Returns whether a request is pending, so that {@link #expire} must be called. */
    public boolean hasPendingRequests() {
        return !mMemberByRequestId.isEmpty() || !mForwarded.isEmpty();
    }

    /**
     * Requests one token.
     *
     * @param limit the member's limit
     * @param callback receives the decision exactly once, possibly before this method returns
     */
    public void acquire(
            String member, RateLimit limit, long nowMillis, Consumer<RateLimitDecision> callback) {
        if (mOwners.isOwner(member) && isInContact(nowMillis)) {
            TokenGrant grant =
                    mTokenBuckets.grant(member, limit, 1, MemberTokenBuckets.Role.OWNER, nowMillis);
            callback.accept(
                    grant.granted() > 0
                            ? RateLimitDecision.GRANTED
                            : new RateLimitDecision.Refused(grant.retryAfterMillis()));
            return;
        }
        MemberState state = mMembers.computeIfAbsent(member, id -> new MemberState());
        if (nowMillis < state.mRefusedUntilMillis) {
            callback.accept(
                    new RateLimitDecision.Refused(Math.max(1, state.mRetryAtMillis - nowMillis)));
            return;
        }
        state.mLimit = limit;
        state.mQueue.add(callback);
        if (state.mPending == null) {
            sendNextRequest(member, state, nowMillis).forEach(PendingDecision::deliver);
        }
    }

    private List<PendingDecision> sendNextRequest(
            String member, MemberState state, long nowMillis) {
        if (state.mQueue.isEmpty()) {
            return List.of();
        }
        List<Consumer<RateLimitDecision>> waiting = new ArrayList<>();
        while (!state.mQueue.isEmpty() && waiting.size() < TokenMessage.Request.MAX_COUNT) {
            waiting.add(state.mQueue.poll());
        }
        Address owner = mOwners.owner(member);
        if (mOwners.isOwner(member)) {
            checkConnectivity(member, state, waiting, nowMillis);
            return List.of();
        }
        if (isUnresponsive(owner, nowMillis)) {
            return requestFromBackupOwner(member, state, waiting, nowMillis);
        }
        sendRequest(member, state, waiting, Stage.OWNER, owner, nowMillis);
        return List.of();
    }

    private List<PendingDecision> requestFromBackupOwner(
            String member,
            MemberState state,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        probe(mOwners.owner(member), member);
        Optional<Address> backupOwner = mOwners.backupOwner(member);
        if (backupOwner.isPresent() && mOwners.rank(member) == 1) {
            if (!isInContact(nowMillis)) {
                checkConnectivity(member, state, waiting, nowMillis);
                return List.of();
            }
            state.mPending = null;
            return grantLocally(member, state, waiting, nowMillis);
        }
        if (backupOwner.isEmpty() || isUnresponsive(backupOwner.get(), nowMillis)) {
            state.mPending = null;
            return applyFallbackQuota(member, state, waiting, nowMillis);
        }
        sendRequest(member, state, waiting, Stage.BACKUP_OWNER, backupOwner.get(), nowMillis);
        return List.of();
    }

    // An isolated owner would grant to its own callers the tokens that the backup owner grants to
    // the rest of the fleet.
    private boolean isInContact(long nowMillis) {
        return nowMillis - mLastContactMillis < CONTACT_TIMEOUT_MILLIS
                || mOwners.otherNodes(0, 1).isEmpty();
    }

    private void checkConnectivity(
            String member,
            MemberState state,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        long id = mNextId++;
        long deadlineMillis = nowMillis + RESPONSE_TIMEOUT_MILLIS;
        state.mPending =
                new PendingRequest(id, Stage.CONNECTIVITY_CHECK, null, waiting, deadlineMillis);
        mMemberByRequestId.put(id, member);
        for (Address other : mOwners.otherNodes(id, CONTACT_PROBES)) {
            mSender.send(other, new TokenMessage.Request(id, member, 0, true));
        }
    }

    private List<PendingDecision> grantLocally(
            String member,
            MemberState state,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        MemberTokenBuckets.Role role =
                mOwners.isOwner(member)
                        ? MemberTokenBuckets.Role.OWNER
                        : MemberTokenBuckets.Role.BACKUP_OWNER;
        TokenGrant grant =
                mTokenBuckets.grant(member, state.mLimit, waiting.size(), role, nowMillis);
        return applyGrant(state, waiting, grant, nowMillis);
    }

    private void sendRequest(
            String member,
            MemberState state,
            List<Consumer<RateLimitDecision>> waiting,
            Stage stage,
            Address to,
            long nowMillis) {
        long id = mNextId++;
        state.mPending =
                new PendingRequest(id, stage, to, waiting, nowMillis + RESPONSE_TIMEOUT_MILLIS);
        mMemberByRequestId.put(id, member);
        mSender.send(to, new TokenMessage.Request(id, member, waiting.size(), false));
    }

    // Lost datagrams can make an owner that still grants tokens to others appear unresponsive; its
    // response to a probe corrects this at once.
    private void probe(Address owner, String member) {
        mSender.send(owner, new TokenMessage.Request(mNextId++, member, 0, true));
    }

    private boolean isUnresponsive(Address node, long nowMillis) {
        Long untilMillis = mUnresponsiveUntilMillis.get(node);
        return untilMillis != null && nowMillis < untilMillis;
    }

    /** Handles a message from another node. */
    public void received(Address from, TokenMessage message, long nowMillis) {
        mUnresponsiveUntilMillis.remove(from);
        mLastContactMillis = nowMillis;
        if (message instanceof TokenMessage.Request request) {
            handleRequest(from, request, nowMillis);
        } else if (message instanceof TokenMessage.Response response) {
            handleResponse(response, nowMillis);
        }
    }

    private void handleRequest(Address requester, TokenMessage.Request request, long nowMillis) {
        Address owner = mOwners.owner(request.member());
        if (request.isFinal() || mOwners.isOwner(request.member()) || owner.equals(requester)) {
            respond(requester, request, nowMillis);
            return;
        }
        if (isUnresponsive(owner, nowMillis) || mForwarded.size() >= MAX_FORWARDED) {
            probe(owner, request.member());
            respond(requester, request, nowMillis);
            return;
        }
        long id = mNextId++;
        mForwarded.put(
                id,
                new ForwardedRequest(
                        requester, request, owner, nowMillis + FORWARD_TIMEOUT_MILLIS));
        mSender.send(owner, new TokenMessage.Request(id, request.member(), request.count(), true));
    }

    private void respond(Address requester, TokenMessage.Request request, long nowMillis) {
        RateLimit limit = mLimits.apply(request.member());
        // This node's configuration may not have the member or its limit yet, or no longer have it.
        TokenGrant grant =
                limit == null
                        ? new TokenGrant(request.count(), 0)
                        : mTokenBuckets.grant(
                                request.member(),
                                limit,
                                request.count(),
                                roleFor(request),
                                nowMillis);
        mSender.send(requester, new TokenMessage.Response(request.id(), grant));
    }

    private MemberTokenBuckets.Role roleFor(TokenMessage.Request request) {
        boolean isOwner = request.isFinal() || mOwners.isOwner(request.member());
        return isOwner ? MemberTokenBuckets.Role.OWNER : MemberTokenBuckets.Role.BACKUP_OWNER;
    }

    private void handleResponse(TokenMessage.Response response, long nowMillis) {
        ForwardedRequest forwarded = mForwarded.remove(response.id());
        if (forwarded != null) {
            mSender.send(
                    forwarded.requester(),
                    new TokenMessage.Response(forwarded.request().id(), response.grant()));
            return;
        }
        String member = mMemberByRequestId.remove(response.id());
        if (member == null) {
            return;
        }
        MemberState state = mMembers.get(member);
        PendingRequest pending = state.mPending;
        state.mPending = null;
        List<PendingDecision> decisions =
                new ArrayList<>(
                        pending.stage() == Stage.CONNECTIVITY_CHECK
                                ? grantLocally(member, state, pending.waiting(), nowMillis)
                                : applyGrant(
                                        state, pending.waiting(), response.grant(), nowMillis));
        decisions.addAll(processQueue(member, state, nowMillis));
        decisions.forEach(PendingDecision::deliver);
    }

    private List<PendingDecision> processQueue(String member, MemberState state, long nowMillis) {
        if (nowMillis < state.mRefusedUntilMillis) {
            List<Consumer<RateLimitDecision>> waiting = new ArrayList<>(state.mQueue);
            state.mQueue.clear();
            RateLimitDecision refused =
                    new RateLimitDecision.Refused(Math.max(1, state.mRetryAtMillis - nowMillis));
            return waiting.stream()
                    .map(callback -> new PendingDecision(callback, refused))
                    .toList();
        }
        List<PendingDecision> decisions = sendNextRequest(member, state, nowMillis);
        if (state.isIdle(nowMillis)) {
            mMembers.remove(member);
        }
        return decisions;
    }

    private static List<PendingDecision> applyGrant(
            MemberState state,
            List<Consumer<RateLimitDecision>> waiting,
            TokenGrant grant,
            long nowMillis) {
        List<PendingDecision> decisions = new ArrayList<>(waiting.size());
        for (int i = 0; i < waiting.size(); i++) {
            boolean isGranted = i < grant.granted();
            decisions.add(
                    new PendingDecision(
                            waiting.get(i),
                            isGranted
                                    ? RateLimitDecision.GRANTED
                                    : new RateLimitDecision.Refused(
                                            Math.max(1, grant.retryAfterMillis()))));
        }
        if (grant.granted() < waiting.size()) {
            state.mRetryAtMillis = nowMillis + grant.retryAfterMillis();
            state.mRefusedUntilMillis =
                    nowMillis + Math.min(REFUSAL_CACHE_MILLIS, grant.retryAfterMillis());
        }
        return decisions;
    }

    private List<PendingDecision> applyFallbackQuota(
            String member,
            MemberState state,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        List<PendingDecision> decisions = new ArrayList<>(waiting.size());
        int rank = mOwners.rank(member);
        for (Consumer<RateLimitDecision> callback : waiting) {
            boolean isGranted = mFallbackQuota.tryAcquire(member, state.mLimit, rank, nowMillis);
            decisions.add(
                    new PendingDecision(
                            callback,
                            isGranted ? RateLimitDecision.GRANTED : RateLimitDecision.UNKNOWN));
        }
        return decisions;
    }

    /** Handles requests that have timed out. */
    public void expire(long nowMillis) {
        expireForwardedRequests(nowMillis);
        List<String> expired = new ArrayList<>();
        for (String member : mMemberByRequestId.values()) {
            if (nowMillis >= mMembers.get(member).mPending.deadlineMillis()) {
                expired.add(member);
            }
        }
        List<PendingDecision> decisions = new ArrayList<>();
        for (String member : expired) {
            decisions.addAll(handleTimeout(member, mMembers.get(member), nowMillis));
        }
        decisions.forEach(PendingDecision::deliver);
    }

    private List<PendingDecision> handleTimeout(String member, MemberState state, long nowMillis) {
        PendingRequest expired = state.mPending;
        mMemberByRequestId.remove(expired.id());
        if (expired.stage() == Stage.OWNER) {
            sendRequest(
                    member,
                    state,
                    expired.waiting(),
                    Stage.OWNER_RETRY,
                    expired.grantor(),
                    nowMillis);
            return List.of();
        }
        if (expired.grantor() != null) {
            mUnresponsiveUntilMillis.put(expired.grantor(), nowMillis + UNRESPONSIVE_MILLIS);
        }
        if (expired.stage() == Stage.OWNER_RETRY) {
            List<PendingDecision> decisions =
                    requestFromBackupOwner(member, state, expired.waiting(), nowMillis);
            return state.mPending == null
                    ? appendQueueDecisions(decisions, member, state, nowMillis)
                    : decisions;
        }
        state.mPending = null;
        List<PendingDecision> decisions =
                applyFallbackQuota(member, state, expired.waiting(), nowMillis);
        return appendQueueDecisions(decisions, member, state, nowMillis);
    }

    private List<PendingDecision> appendQueueDecisions(
            List<PendingDecision> decisions, String member, MemberState state, long nowMillis) {
        List<PendingDecision> all = new ArrayList<>(decisions);
        all.addAll(processQueue(member, state, nowMillis));
        return all;
    }

    private void expireForwardedRequests(long nowMillis) {
        List<ForwardedRequest> expired = new ArrayList<>();
        for (Iterator<ForwardedRequest> it = mForwarded.values().iterator(); it.hasNext(); ) {
            ForwardedRequest forwarded = it.next();
            if (nowMillis >= forwarded.deadlineMillis()) {
                it.remove();
                expired.add(forwarded);
            }
        }
        for (ForwardedRequest forwarded : expired) {
            mUnresponsiveUntilMillis.put(forwarded.owner(), nowMillis + UNRESPONSIVE_MILLIS);
            respond(forwarded.requester(), forwarded.request(), nowMillis);
        }
    }

    /** Returns the node that owns the member and counts its tokens. */
    public Address owner(String member) {
        return mOwners.owner(member);
    }
}
