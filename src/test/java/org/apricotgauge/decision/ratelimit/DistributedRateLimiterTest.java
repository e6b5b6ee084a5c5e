package org.apricotgauge.decision.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.RateLimit;
import org.junit.jupiter.api.Test;

/** What one node does when others answer late or not at all. */
class DistributedRateLimiterTest {
    private static final RateLimit LIMIT = new RateLimit(10, 5);
    private static final String MEMBER = "stable";
    private static final int NODES = 5;

    private final List<Address> mNodes = new ArrayList<>();
    private final List<Sent> mSent = new ArrayList<>();
    private final List<RateLimitDecision> mDecisions = new ArrayList<>();
    private long mNowMillis = 1_000;

    private record Sent(Address to, TokenMessage message) {}

    DistributedRateLimiterTest() {
        for (int node = 1; node <= NODES; node++) {
            mNodes.add(new Address("10.0.0." + node, 7_000));
        }
    }

    @Test
    void aConnectedOwnerGrantsWithoutSendingARequest() {
        DistributedRateLimiter home = limiter(nodeOfRank(0));
        home.received(
                nodeOfRank(2), new TokenMessage.Response(-1, new TokenGrant(0, 0)), mNowMillis);
        acquire(home);

        assertThat(mDecisions).containsExactly(RateLimitDecision.GRANTED);
        assertThat(mSent).isEmpty();
    }

    // Guards against a home cut off that lends to its callers beside its stand-in.
    @Test
    void anIsolatedOwnerGrantsOnlyAfterAnotherNodeResponds() {
        DistributedRateLimiter home = limiter(nodeOfRank(0));
        acquire(home);
        assertThat(mDecisions).isEmpty();
        respond(home, 0, 0);
        assertThat(mDecisions).containsExactly(RateLimitDecision.GRANTED);

        mNowMillis += DistributedRateLimiter.CONTACT_TIMEOUT_MILLIS;
        acquire(home);
        timeOut(home);
        assertThat(mDecisions)
                .containsExactly(RateLimitDecision.GRANTED, RateLimitDecision.UNKNOWN);
    }

    @Test
    void aSingleNodeIsNeverIsolated() {
        mNodes.subList(1, NODES).clear();
        acquire(limiter(mNodes.get(0)));

        assertThat(mDecisions).containsExactly(RateLimitDecision.GRANTED);
    }

    @Test
    void callersWaitingForAPendingRequestShareTheNextOne() {
        DistributedRateLimiter desk = limiter(nodeOfRank(3));
        acquire(desk);
        acquire(desk);
        acquire(desk);
        assertThat(mSent).hasSize(1);

        respond(desk, 1, 0);
        assertThat(((TokenMessage.Request) mSent.get(1).message()).count()).isEqualTo(2);
        respond(desk, 1, 700);

        assertThat(mDecisions)
                .containsExactly(
                        RateLimitDecision.GRANTED,
                        RateLimitDecision.GRANTED,
                        new RateLimitDecision.Refused(700));
    }

    // Guards against a question for each request of a member that floods the fleet.
    @Test
    void aRefusalIsCached() {
        DistributedRateLimiter desk = limiter(nodeOfRank(3));
        acquire(desk);
        respond(desk, 0, 700);
        mNowMillis += DistributedRateLimiter.REFUSAL_CACHE_MILLIS - 1;
        acquire(desk);

        assertThat(mSent).hasSize(1);
        assertThat(mDecisions.get(1))
                .isEqualTo(
                        new RateLimitDecision.Refused(
                                701 - DistributedRateLimiter.REFUSAL_CACHE_MILLIS));
    }

    // Guards against a lost datagram that makes a second node lend beside the home.
    @Test
    void retriesTheOwnerOnceAndThenAsksTheBackupOwner() {
        DistributedRateLimiter desk = limiter(nodeOfRank(3));
        acquire(desk);
        timeOut(desk);
        timeOut(desk);

        assertThat(mSent.stream().filter(DistributedRateLimiterTest::requestsTokens).map(Sent::to))
                .containsExactly(nodeOfRank(0), nodeOfRank(0), nodeOfRank(1));
        assertThat(mDecisions).isEmpty();

        respond(desk, 1, 0);
        assertThat(mDecisions).containsExactly(RateLimitDecision.GRANTED);
    }

    // Guards against the same while the home is back: its answer to a probe ends its silence.
    @Test
    void anOwnerThatRespondsAgainIsUsedAgain() {
        DistributedRateLimiter desk = limiter(nodeOfRank(3));
        acquire(desk);
        timeOut(desk);
        timeOut(desk);
        respond(desk, 1, 0);
        desk.received(
                nodeOfRank(0), new TokenMessage.Response(-1, new TokenGrant(0, 0)), mNowMillis);
        acquire(desk);

        assertThat(mSent.get(mSent.size() - 1).to()).isEqualTo(nodeOfRank(0));
    }

    // Guards against callers of a node out of touch that wait until their deadline.
    @Test
    void theDecisionIsUnknownWhenNoNodeResponds() {
        DistributedRateLimiter desk = limiter(nodeOfRank(3));
        acquire(desk);
        timeOut(desk);
        timeOut(desk);
        timeOut(desk);
        assertThat(mDecisions).containsExactly(RateLimitDecision.UNKNOWN);

        acquire(desk);
        assertThat(mDecisions).hasSize(2);
        assertThat(desk.hasPendingRequests()).isFalse();
    }

    // Guards against two lenders while only the path between asker and home is cut.
    @Test
    void aBackupOwnerForwardsRequestsToTheOwner() {
        DistributedRateLimiter standIn = limiter(nodeOfRank(1));
        standIn.received(nodeOfRank(3), new TokenMessage.Request(77, MEMBER, 2, false), mNowMillis);

        assertThat(mSent.get(0).to()).isEqualTo(nodeOfRank(0));
        assertThat(((TokenMessage.Request) mSent.get(0).message()).isFinal()).isTrue();
        respond(standIn, 1, 300);

        assertThat(mSent.get(1))
                .isEqualTo(
                        new Sent(
                                nodeOfRank(3),
                                new TokenMessage.Response(77, new TokenGrant(1, 300))));
    }

    @Test
    void aBackupOwnerGrantsWhenTheOwnerTimesOut() {
        DistributedRateLimiter standIn = limiter(nodeOfRank(1));
        standIn.received(nodeOfRank(3), new TokenMessage.Request(77, MEMBER, 1, false), mNowMillis);
        mNowMillis += DistributedRateLimiter.FORWARD_TIMEOUT_MILLIS;
        standIn.expire(mNowMillis);

        assertThat(mSent.get(1))
                .isEqualTo(
                        new Sent(
                                nodeOfRank(3),
                                new TokenMessage.Response(77, new TokenGrant(1, 0))));
    }

    private static boolean requestsTokens(Sent sent) {
        return sent.message() instanceof TokenMessage.Request ask && ask.count() > 0;
    }

    private Address nodeOfRank(int rank) {
        return mNodes.stream()
                .filter(node -> owners(node).rank(MEMBER) == rank)
                .findFirst()
                .orElseThrow();
    }

    private MemberOwners owners(Address self) {
        return MemberOwners.of(self, mNodes.stream().filter(node -> !node.equals(self)).toList());
    }

    private DistributedRateLimiter limiter(Address self) {
        return new DistributedRateLimiter(
                owners(self),
                (to, message) -> mSent.add(new Sent(to, message)),
                member -> LIMIT,
                FallbackQuota.Tolerance.NONE,
                0);
    }

    private void acquire(DistributedRateLimiter desk) {
        desk.acquire(MEMBER, LIMIT, mNowMillis, mDecisions::add);
    }

    private void respond(DistributedRateLimiter desk, int granted, long retryAfterMillis) {
        Sent last = mSent.get(mSent.size() - 1);
        TokenGrant answer = new TokenGrant(granted, retryAfterMillis);
        desk.received(
                last.to(), new TokenMessage.Response(last.message().id(), answer), mNowMillis);
    }

    private void timeOut(DistributedRateLimiter desk) {
        mNowMillis += DistributedRateLimiter.RESPONSE_TIMEOUT_MILLIS;
        desk.expire(mNowMillis);
    }
}
