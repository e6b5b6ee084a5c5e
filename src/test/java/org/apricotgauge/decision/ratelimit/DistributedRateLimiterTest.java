package org.apricotgauge.decision.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.RateLimit;
import org.junit.jupiter.api.Test;

/** Tests what one node does when others respond late or not at all. */
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
        DistributedRateLimiter owner = limiter(nodeOfRank(0));
        owner.received(
                nodeOfRank(2), new TokenMessage.Response(-1, new TokenGrant(0, 0)), mNowMillis);
        acquire(owner);

        assertThat(mDecisions).containsExactly(RateLimitDecision.GRANTED);
        assertThat(mSent).isEmpty();
    }

    // Guards against an isolated owner that grants tokens while its backup owner grants them too.
    @Test
    void anIsolatedOwnerGrantsOnlyAfterAnotherNodeResponds() {
        DistributedRateLimiter owner = limiter(nodeOfRank(0));
        acquire(owner);
        assertThat(mDecisions).isEmpty();
        respond(owner, 0, 0);
        assertThat(mDecisions).containsExactly(RateLimitDecision.GRANTED);

        mNowMillis += DistributedRateLimiter.CONTACT_TIMEOUT_MILLIS;
        acquire(owner);
        timeOut(owner);
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
        DistributedRateLimiter limiter = limiter(nodeOfRank(3));
        acquire(limiter);
        acquire(limiter);
        acquire(limiter);
        assertThat(mSent).hasSize(1);

        respond(limiter, 1, 0);
        assertThat(((TokenMessage.Request) mSent.get(1).message()).count()).isEqualTo(2);
        respond(limiter, 1, 700);

        assertThat(mDecisions)
                .containsExactly(
                        RateLimitDecision.GRANTED,
                        RateLimitDecision.GRANTED,
                        new RateLimitDecision.Refused(700));
    }

    // Guards against flooding the fleet with one message for each request of a member, and against
    // callers that all return at the same moment.
    @Test
    void aRefusalIsCachedAndEachCallerGetsItsOwnTime() {
        DistributedRateLimiter limiter = limiter(nodeOfRank(3));
        acquire(limiter);
        acquire(limiter);
        acquire(limiter);
        respond(limiter, 1, 0);
        respond(limiter, 0, 700);
        mNowMillis += CachedRefusal.LIFETIME_MILLIS - 1;
        acquire(limiter);

        assertThat(mSent).hasSize(2);
        assertThat(mDecisions)
                .containsExactly(
                        RateLimitDecision.GRANTED,
                        new RateLimitDecision.Refused(700),
                        new RateLimitDecision.Refused(800),
                        new RateLimitDecision.Refused(901 - CachedRefusal.LIFETIME_MILLIS));
    }

    // Guards against an owner that responds late: the same request again would cost a second token,
    // and the token of the late response would be lost.
    @Test
    void aLateResponseOfTheOwnerIsUsed() {
        DistributedRateLimiter limiter = limiter(nodeOfRank(3));
        acquire(limiter);
        TokenMessage first = mSent.get(0).message();
        timeOut(limiter);
        assertThat(mSent.get(1).message()).isEqualTo(first);
        timeOut(limiter);
        limiter.received(
                nodeOfRank(0),
                new TokenMessage.Response(first.id(), new TokenGrant(1, 0)),
                mNowMillis);

        assertThat(mDecisions).containsExactly(RateLimitDecision.GRANTED);
    }

    @Test
    void anOwnerGrantsARepeatedRequestOnce() {
        DistributedRateLimiter owner = limiter(nodeOfRank(0));
        TokenMessage.Request request = new TokenMessage.Request(77, MEMBER, 2, false);
        for (int i = 0; i < 3; i++) {
            owner.received(nodeOfRank(3), request, mNowMillis);
            assertThat(((TokenMessage.Response) mSent.get(i).message()).grant().granted())
                    .isEqualTo(2);
        }
        owner.received(nodeOfRank(3), new TokenMessage.Request(78, MEMBER, 9, false), mNowMillis);
        assertThat(((TokenMessage.Response) mSent.get(3).message()).grant().granted()).isEqualTo(3);
    }

    // Guards against a lost datagram after which a second node grants tokens beside the owner.
    @Test
    void retriesTheOwnerOnceAndThenAsksTheBackupOwner() {
        DistributedRateLimiter limiter = limiter(nodeOfRank(3));
        acquire(limiter);
        timeOut(limiter);
        timeOut(limiter);

        assertThat(mSent.stream().filter(DistributedRateLimiterTest::requestsTokens).map(Sent::to))
                .containsExactly(nodeOfRank(0), nodeOfRank(0), nodeOfRank(1));
        assertThat(mDecisions).isEmpty();

        respond(limiter, 1, 0);
        assertThat(mDecisions).containsExactly(RateLimitDecision.GRANTED);
    }

    // Guards against two nodes granting tokens after the owner is restored: once it has responded
    // to a probe, requests go to it again.
    @Test
    void anOwnerThatRespondsAgainIsUsedAgain() {
        DistributedRateLimiter limiter = limiter(nodeOfRank(3));
        acquire(limiter);
        timeOut(limiter);
        timeOut(limiter);
        respond(limiter, 1, 0);
        limiter.received(
                nodeOfRank(0), new TokenMessage.Response(-1, new TokenGrant(0, 0)), mNowMillis);
        acquire(limiter);

        assertThat(mSent.get(mSent.size() - 1).to()).isEqualTo(nodeOfRank(0));
    }

    // Guards against callers of an isolated node that wait until their deadline.
    @Test
    void theDecisionIsUnknownWhenNoNodeResponds() {
        DistributedRateLimiter limiter = limiter(nodeOfRank(3));
        acquire(limiter);
        timeOut(limiter);
        timeOut(limiter);
        timeOut(limiter);
        assertThat(mDecisions).containsExactly(RateLimitDecision.UNKNOWN);

        acquire(limiter);
        assertThat(mDecisions).hasSize(2);
        assertThat(limiter.hasPendingRequests()).isFalse();
    }

    // Guards against two nodes granting tokens while only the path from requester to owner fails.
    @Test
    void aBackupOwnerForwardsRequestsToTheOwner() {
        DistributedRateLimiter backupOwner = limiter(nodeOfRank(1));
        backupOwner.received(
                nodeOfRank(3), new TokenMessage.Request(77, MEMBER, 2, false), mNowMillis);

        assertThat(mSent.get(0).to()).isEqualTo(nodeOfRank(0));
        assertThat(((TokenMessage.Request) mSent.get(0).message()).isFinal()).isTrue();
        respond(backupOwner, 1, 300);

        assertThat(mSent.get(1))
                .isEqualTo(
                        new Sent(
                                nodeOfRank(3),
                                new TokenMessage.Response(77, new TokenGrant(1, 300))));
    }

    @Test
    void aBackupOwnerGrantsWhenTheOwnerTimesOut() {
        DistributedRateLimiter backupOwner = limiter(nodeOfRank(1));
        backupOwner.received(
                nodeOfRank(3), new TokenMessage.Request(77, MEMBER, 1, false), mNowMillis);
        mNowMillis += RequestForwarder.TIMEOUT_MILLIS;
        backupOwner.expire(mNowMillis);

        assertThat(mSent.get(1))
                .isEqualTo(
                        new Sent(
                                nodeOfRank(3),
                                new TokenMessage.Response(77, new TokenGrant(1, 0))));
    }

    // Guards against a single lost datagram after which a backup owner grants the tokens of the
    // minute in which the owner granted them.
    @Test
    void aBackupOwnerDoesNotGrantTheTokensOfAnEarlierSilence() {
        DistributedRateLimiter backupOwner = limiter(nodeOfRank(1));
        for (int id = 77; id < 79; id++) {
            mNowMillis += 60_000;
            backupOwner.received(
                    nodeOfRank(3), new TokenMessage.Request(id, MEMBER, 20, false), mNowMillis);
            mNowMillis += RequestForwarder.TIMEOUT_MILLIS;
            backupOwner.expire(mNowMillis);

            assertThat(lastGranted()).isEqualTo(2);
        }
    }

    // Guards against a node that replaces nobody for the member but grants at its full rate beside
    // the owner, when a node with another view of the fleet asks it.
    @Test
    void aNodeThatIsNoCandidateGrantsNothingThatAccruesAtTheOwner() {
        DistributedRateLimiter last = limiter(nodeOfRank(4));
        last.received(nodeOfRank(3), new TokenMessage.Request(77, MEMBER, 20, true), mNowMillis);
        assertThat(lastGranted()).isEqualTo(2);

        mNowMillis += 500;
        last.received(nodeOfRank(3), new TokenMessage.Request(78, MEMBER, 20, true), mNowMillis);
        assertThat(lastGranted()).isZero();
    }

    // Guards against members that nobody counts while both their owner and its backup are cut off.
    @Test
    void aThirdNodeGrantsWhileTheFirstTwoAreSilent() {
        DistributedRateLimiter limiter = limiter(nodeOfRank(4));
        acquire(limiter);
        timeOut(limiter);
        timeOut(limiter);
        limiter.received(
                nodeOfRank(3), new TokenMessage.Response(-1, new TokenGrant(0, 0)), mNowMillis);
        timeOut(limiter);
        assertThat(mDecisions).isEmpty();
        assertThat(mSent.get(mSent.size() - 1).to()).isEqualTo(nodeOfRank(2));

        respond(limiter, 1, 0);
        assertThat(mDecisions).containsExactly(RateLimitDecision.GRANTED);
    }

    @Test
    void aThirdNodeAsksBothBeforeItOneAfterTheOther() {
        DistributedRateLimiter third = limiter(nodeOfRank(2));
        third.received(nodeOfRank(4), new TokenMessage.Request(77, MEMBER, 1, false), mNowMillis);
        for (int rank = 0; rank < 2; rank++) {
            assertThat(mSent.get(mSent.size() - 1).to()).isEqualTo(nodeOfRank(rank));
            mNowMillis += RequestForwarder.TIMEOUT_MILLIS;
            third.expire(mNowMillis);
        }

        assertThat(mSent.get(mSent.size() - 1))
                .isEqualTo(
                        new Sent(
                                nodeOfRank(4),
                                new TokenMessage.Response(77, new TokenGrant(1, 0))));
    }

    // Guards against a backup owner that is cut off, takes the owner for silent, and grants tokens
    // to its own callers beside the owner.
    @Test
    void aBackupOwnerThatHearsNobodyGrantsNothingToItsCallers() {
        DistributedRateLimiter backupOwner = limiter(nodeOfRank(1));
        backupOwner.received(
                nodeOfRank(3), new TokenMessage.Response(-1, new TokenGrant(0, 0)), mNowMillis);
        acquire(backupOwner);
        timeOut(backupOwner);
        timeOut(backupOwner);
        assertThat(mDecisions).isEmpty();
        timeOut(backupOwner);

        assertThat(mDecisions).containsExactly(RateLimitDecision.UNKNOWN);
    }

    private int lastGranted() {
        Sent last = mSent.get(mSent.size() - 1);
        return ((TokenMessage.Response) last.message()).grant().granted();
    }

    private static boolean requestsTokens(Sent sent) {
        return sent.message() instanceof TokenMessage.Request request && request.count() > 0;
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

    private void acquire(DistributedRateLimiter limiter) {
        limiter.acquire(MEMBER, LIMIT, mNowMillis, mDecisions::add);
    }

    private void respond(DistributedRateLimiter limiter, int granted, long retryAfterMillis) {
        Sent last = mSent.get(mSent.size() - 1);
        TokenGrant grant = new TokenGrant(granted, retryAfterMillis);
        limiter.received(
                last.to(), new TokenMessage.Response(last.message().id(), grant), mNowMillis);
    }

    private void timeOut(DistributedRateLimiter limiter) {
        mNowMillis += DistributedRateLimiter.RESPONSE_TIMEOUT_MILLIS;
        limiter.expire(mNowMillis);
    }
}
