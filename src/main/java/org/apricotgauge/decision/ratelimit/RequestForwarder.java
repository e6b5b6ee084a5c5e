package org.apricotgauge.decision.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.apricotgauge.model.Address;

/**
 * Forwards requests for tokens to the candidates before this node, since perhaps only the path from
 * the requester to them is broken. Not thread-safe.
 */
final class RequestForwarder {
    /**
     * Timeout of a forwarded request; shorter, so that the response to the requester is in time.
     */
    static final long TIMEOUT_MILLIS = 100;

    /** Maximum number of concurrently forwarded requests; this node answers any others itself. */
    private static final int MAX_FORWARDED = 10_000;

    private final DistributedRateLimiter.Sender mSender;
    private final UnresponsiveNodes mUnresponsive;
    private final LongSupplier mIds;
    private final Responder mLocal;
    private final Map<Long, Forwarded> mForwarded = new HashMap<>();

    /** Responds to a request that no candidate before this node responds to. */
    @FunctionalInterface
    interface Responder {
        void respond(Address requester, TokenMessage.Request request, long nowMillis);
    }

    /** A request that was forwarded to the candidate at a place. */
    private record Forwarded(
            Address requester,
            TokenMessage.Request request,
            int place,
            Address candidate,
            long deadlineMillis) {}

    RequestForwarder(
            DistributedRateLimiter.Sender sender,
            UnresponsiveNodes unresponsive,
            LongSupplier ids,
            Responder local) {
        mSender = sender;
        mUnresponsive = unresponsive;
        mIds = ids;
        mLocal = local;
    }

    boolean isEmpty() {
        return mForwarded.isEmpty();
    }

    /** Forwards to the first responsive candidate before this node; responds if there is none. */
    void forwardOrRespond(
            MemberOwners owners, Address requester, TokenMessage.Request request, long nowMillis) {
        forwardFrom(0, owners, requester, request, nowMillis);
    }

    private void forwardFrom(
            int first,
            MemberOwners owners,
            Address requester,
            TokenMessage.Request request,
            long nowMillis) {
        List<Address> candidates = owners.candidates(request.member());
        int end = endOfForwarding(candidates, owners.self(), requester);
        for (int i = first; i < end; i++) {
            Address candidate = candidates.get(i);
            long id = mIds.getAsLong();
            if (!mUnresponsive.contains(candidate, nowMillis)
                    && mForwarded.size() < MAX_FORWARDED) {
                long deadlineMillis = nowMillis + TIMEOUT_MILLIS;
                mForwarded.put(id, new Forwarded(requester, request, i, candidate, deadlineMillis));
                mSender.send(
                        candidate,
                        new TokenMessage.Request(id, request.member(), request.count(), true));
                return;
            }
            if (mUnresponsive.tryProbe(candidate, nowMillis)) {
                mSender.send(candidate, new TokenMessage.Request(id, request.member(), 0, true));
            }
        }
        mLocal.respond(requester, request, nowMillis);
    }

    // With another view of the fleet the requester may itself be a candidate here.
    private static int endOfForwarding(List<Address> candidates, Address self, Address requester) {
        for (int i = 0; i < candidates.size(); i++) {
            Address candidate = candidates.get(i);
            if (candidate.equals(self) || candidate.equals(requester)) {
                return i;
            }
        }
        return candidates.size();
    }

    /** Passes a response on; returns false if it belongs to no forwarded request. */
    boolean handleResponse(TokenMessage.Response response) {
        Forwarded forwarded = mForwarded.remove(response.id());
        if (forwarded == null) {
            return false;
        }
        mSender.send(
                forwarded.requester(),
                new TokenMessage.Response(forwarded.request().id(), response.grant()));
        return true;
    }

    /** Handles forwarded requests that have timed out. */
    void expire(MemberOwners owners, long nowMillis) {
        List<Forwarded> expired = new ArrayList<>();
        for (Iterator<Forwarded> it = mForwarded.values().iterator(); it.hasNext(); ) {
            Forwarded forwarded = it.next();
            if (nowMillis >= forwarded.deadlineMillis()) {
                it.remove();
                expired.add(forwarded);
            }
        }
        for (Forwarded forwarded : expired) {
            mUnresponsive.markUnresponsive(forwarded.candidate(), nowMillis);
            forwardFrom(
                    forwarded.place() + 1,
                    owners,
                    forwarded.requester(),
                    forwarded.request(),
                    nowMillis);
        }
    }
}
