package org.apricotgauge.decision.ratelimit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * the candidates that replace it, in turn. Each of these forwards it to those before it, since only
 * the path between requester and owner may be broken, and grants tokens itself if none responds.
 * Each member has at most one pending request; callers that arrive meanwhile share the next one.
 * The time and received messages are passed in; messages are sent through a {@link Sender}. Not
 * thread-safe; the caller must synchronize.
 */
public final class DistributedRateLimiter {
    /** Timeout of a request, in milliseconds. */
    static final long RESPONSE_TIMEOUT_MILLIS = 150;

    /** A node that has received no message for this long may be isolated, in milliseconds. */
    static final long CONTACT_TIMEOUT_MILLIS = 300;

    /** A node that restarts uses other ids than before. */
    private static final int ID_BITS_PER_MILLI = 8;

    /** Nodes that a possibly isolated node probes before it grants tokens to itself. */
    private static final int CONTACT_PROBES = 3;

    private final Sender mSender;
    private final Function<String, RateLimit> mLimits;
    private final MemberTokenBuckets mTokenBuckets;
    private final FallbackQuota mFallbackQuota;
    private final RecentGrants mRecentGrants = new RecentGrants();
    private final Map<String, MemberState> mMembers = new HashMap<>();
    private final Map<Long, String> mMemberByRequestId = new HashMap<>();
    private final UnresponsiveNodes mUnresponsive = new UnresponsiveNodes();
    private final RequestForwarder mForwarder;
    private MemberOwners mOwners;
    private long mNextId;
    private long mLastContactMillis;
    private boolean mIsIsolated;

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
     * @param candidate place of the grantor among the candidates
     * @param grantor the node that is to grant the tokens; null if this node is
     * @param waiting callbacks of the callers that wait for the response
     * @param sentMillis when the request was sent
     * @param deadlineMillis when the request times out
     */
    private record PendingRequest(
            long id,
            Stage stage,
            int candidate,
            Address grantor,
            List<Consumer<RateLimitDecision>> waiting,
            long sentMillis,
            long deadlineMillis) {}

    /** State of one member at this node. */
    private static final class MemberState {
        private final Deque<Consumer<RateLimitDecision>> mQueue = new ArrayDeque<>();
        private RateLimit mLimit;
        private PendingRequest mPending;
        private CachedRefusal mRefusal;

        boolean isIdle(long nowMillis) {
            return mPending == null && mQueue.isEmpty() && !isRefused(nowMillis);
        }

        boolean isRefused(long nowMillis) {
            return mRefusal != null && mRefusal.isValid(nowMillis);
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
        mTokenBuckets = new MemberTokenBuckets(owners, tolerance, nowMillis);
        mFallbackQuota = new FallbackQuota(tolerance);
        mForwarder = new RequestForwarder(mSender, mUnresponsive, () -> mNextId++, this::respond);
        mLastContactMillis = nowMillis - CONTACT_TIMEOUT_MILLIS;
        mNextId = nowMillis << ID_BITS_PER_MILLI;
    }

    /** Called when nodes joined or left. */
    public void fleetChanged(MemberOwners owners, long nowMillis) {
        mOwners = owners;
        mTokenBuckets.fleetChanged(owners, nowMillis);
        mUnresponsive.removeExpired(nowMillis);
        mMembers.values().removeIf(state -> state.isIdle(nowMillis));
    }

    /** Returns whether no other node responds, so that most requests of members are refused. */
    public boolean isIsolated() {
        return mIsIsolated;
    }

    /** Returns whether a request is pending, so that {@link #expire} must be called. */
    public boolean hasPendingRequests() {
        return !mMemberByRequestId.isEmpty() || !mForwarder.isEmpty();
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
                    mTokenBuckets.grant(
                            member, limit, 1, MemberTokenBuckets.Authority.OWNER, nowMillis);
            callback.accept(
                    grant.granted() > 0
                            ? RateLimitDecision.GRANTED
                            : new RateLimitDecision.Refused(grant.retryAfterMillis()));
            return;
        }
        MemberState state = mMembers.computeIfAbsent(member, id -> new MemberState());
        if (state.isRefused(nowMillis)) {
            callback.accept(state.mRefusal.next(nowMillis));
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
        return requestFrom(0, member, state, waiting, nowMillis);
    }

    /** Requests tokens from the first responsive candidate, from the given one on. */
    private List<PendingDecision> requestFrom(
            int first,
            String member,
            MemberState state,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        List<Address> candidates = mOwners.candidates(member);
        int end = mIsIsolated ? Math.min(2, candidates.size()) : candidates.size();
        for (int i = first; i < end; i++) {
            Address candidate = candidates.get(i);
            if (candidate.equals(mOwners.self())) {
                candidates.subList(0, i).forEach(earlier -> probe(earlier, member, nowMillis));
                return grantOrCheckConnectivity(member, state, waiting, nowMillis);
            }
            if (!mUnresponsive.contains(candidate, nowMillis)) {
                candidates.subList(0, i).forEach(earlier -> probe(earlier, member, nowMillis));
                Stage stage = i == 0 ? Stage.OWNER : Stage.BACKUP_OWNER;
                if (i > 0 && !mIsIsolated && !isInContact(nowMillis)) {
                    probeOtherNodes(mNextId++, member);
                }
                sendRequest(member, state, waiting, stage, i, candidate, nowMillis);
                return List.of();
            }
        }
        probe(candidates.get(0), member, nowMillis);
        state.mPending = null;
        return applyFallbackQuota(member, state, waiting, nowMillis);
    }

    private List<PendingDecision> grantOrCheckConnectivity(
            String member,
            MemberState state,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        if (!isInContact(nowMillis)) {
            checkConnectivity(member, state, waiting, nowMillis);
            return List.of();
        }
        state.mPending = null;
        return grantLocally(member, state, waiting, nowMillis);
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
                new PendingRequest(
                        id, Stage.CONNECTIVITY_CHECK, 0, null, waiting, nowMillis, deadlineMillis);
        mMemberByRequestId.put(id, member);
        probeOtherNodes(id, member);
    }

    private void probeOtherNodes(long id, String member) {
        for (Address other : mOwners.otherNodes(id, CONTACT_PROBES)) {
            mSender.send(other, new TokenMessage.Request(id, member, 0, true));
        }
    }

    private List<PendingDecision> grantLocally(
            String member,
            MemberState state,
            List<Consumer<RateLimitDecision>> waiting,
            long nowMillis) {
        TokenGrant grant =
                mTokenBuckets.grant(
                        member,
                        state.mLimit,
                        waiting.size(),
                        authorityFor(member, nowMillis),
                        nowMillis);
        return applyGrant(state, waiting, grant, nowMillis);
    }

    private void sendRequest(
            String member,
            MemberState state,
            List<Consumer<RateLimitDecision>> waiting,
            Stage stage,
            int candidate,
            Address to,
            long nowMillis) {
        // With the same id a late response of an earlier candidate is still of use.
        long id = state.mPending == null ? mNextId++ : state.mPending.id();
        // A later candidate forwards the request to those before it, one after the other.
        long timeoutMillis =
                RESPONSE_TIMEOUT_MILLIS
                        + Math.max(0, candidate - 1) * RequestForwarder.TIMEOUT_MILLIS;
        state.mPending =
                new PendingRequest(
                        id, stage, candidate, to, waiting, nowMillis, nowMillis + timeoutMillis);
        mMemberByRequestId.put(id, member);
        mSender.send(to, new TokenMessage.Request(id, member, waiting.size(), false));
    }

    // Lost datagrams can make a node that still grants tokens to others appear unresponsive; its
    // response to a probe corrects this at once.
    private void probe(Address node, String member, long nowMillis) {
        if (mUnresponsive.tryProbe(node, nowMillis)) {
            mSender.send(node, new TokenMessage.Request(mNextId++, member, 0, true));
        }
    }

    /** Handles a message from another node. */
    public void received(Address from, TokenMessage message, long nowMillis) {
        mUnresponsive.heard(from);
        mLastContactMillis = nowMillis;
        mIsIsolated = false;
        if (message instanceof TokenMessage.Request request) {
            handleRequest(from, request, nowMillis);
        } else if (message instanceof TokenMessage.Response response) {
            handleResponse(response, nowMillis);
        }
    }

    private void handleRequest(Address requester, TokenMessage.Request request, long nowMillis) {
        if (request.isFinal()) {
            respond(requester, request, nowMillis);
            return;
        }
        mForwarder.forwardOrRespond(mOwners, requester, request, nowMillis);
    }

    private void respond(Address requester, TokenMessage.Request request, long nowMillis) {
        TokenGrant grant =
                request.count() == 0
                        ? new TokenGrant(0, 0)
                        : mRecentGrants.computeIfAbsent(
                                requester, request, nowMillis, () -> grant(request, nowMillis));
        mSender.send(requester, new TokenMessage.Response(request.id(), grant));
    }

    private TokenGrant grant(TokenMessage.Request request, long nowMillis) {
        String member = request.member();
        RateLimit limit = mLimits.apply(member);
        // This node's configuration may not have the member or its limit yet, or no longer have it.
        return limit == null
                ? new TokenGrant(request.count(), 0)
                : mTokenBuckets.grant(
                        member, limit, request.count(), authorityFor(member, nowMillis), nowMillis);
    }

    private MemberTokenBuckets.Authority authorityFor(String member, long nowMillis) {
        List<Address> candidates = mOwners.candidates(member);
        int own = candidates.indexOf(mOwners.self());
        if (own == 0) {
            return MemberTokenBuckets.Authority.OWNER;
        }
        long sinceMillis = Long.MIN_VALUE;
        // All candidates come before a node that is none.
        for (Address earlier : candidates.subList(0, own < 0 ? candidates.size() : own)) {
            sinceMillis = Math.max(sinceMillis, mUnresponsive.sinceMillis(earlier, nowMillis));
        }
        return new MemberTokenBuckets.Authority(
                own == 1
                        ? MemberTokenBuckets.Role.BACKUP_OWNER
                        : MemberTokenBuckets.Role.LATER_BACKUP_OWNER,
                sinceMillis);
    }

    private void handleResponse(TokenMessage.Response response, long nowMillis) {
        if (mForwarder.handleResponse(response)) {
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
        if (state.isRefused(nowMillis)) {
            List<Consumer<RateLimitDecision>> waiting = new ArrayList<>(state.mQueue);
            state.mQueue.clear();
            return waiting.stream()
                    .map(callback -> new PendingDecision(callback, state.mRefusal.next(nowMillis)))
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
        if (grant.granted() < waiting.size()) {
            state.mRefusal = new CachedRefusal(state.mLimit, grant, nowMillis);
        }
        List<PendingDecision> decisions = new ArrayList<>(waiting.size());
        for (int i = 0; i < waiting.size(); i++) {
            decisions.add(
                    new PendingDecision(
                            waiting.get(i),
                            i < grant.granted()
                                    ? RateLimitDecision.GRANTED
                                    : state.mRefusal.next(nowMillis)));
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
            boolean isGranted =
                    mFallbackQuota.tryAcquire(
                            member, state.mLimit, rank, mOwners.nodeCount(), nowMillis);
            decisions.add(
                    new PendingDecision(
                            callback,
                            isGranted ? RateLimitDecision.GRANTED : RateLimitDecision.UNKNOWN));
        }
        return decisions;
    }

    /** Handles requests that have timed out. */
    public void expire(long nowMillis) {
        mForwarder.expire(mOwners, nowMillis);
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
                    0,
                    expired.grantor(),
                    nowMillis);
            return List.of();
        }
        if (expired.grantor() != null) {
            mUnresponsive.markUnresponsive(expired.grantor(), nowMillis);
        }
        // More candidates would only let the callers of an isolated node wait.
        if (expired.stage() != Stage.OWNER_RETRY && !isInContact(expired.sentMillis())) {
            mIsIsolated = true;
        }
        List<PendingDecision> decisions;
        if (expired.stage() == Stage.CONNECTIVITY_CHECK || mIsIsolated) {
            state.mPending = null;
            decisions = applyFallbackQuota(member, state, expired.waiting(), nowMillis);
        } else {
            int next = expired.candidate() + 1;
            decisions = requestFrom(next, member, state, expired.waiting(), nowMillis);
        }
        if (state.mPending != null) {
            return decisions;
        }
        List<PendingDecision> all = new ArrayList<>(decisions);
        all.addAll(processQueue(member, state, nowMillis));
        return all;
    }

    /** Returns the node that owns the member and counts its tokens. */
    public Address owner(String member) {
        return mOwners.owner(member);
    }
}
