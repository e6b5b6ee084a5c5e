package org.apricotgauge.decision.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.RateLimit;
import org.junit.jupiter.api.Test;

/** Tests the tokens of members at their owner. */
class MemberTokenBucketsTest {
    private static final RateLimit LIMIT = new RateLimit(10, 5);
    private static final long LATER_MILLIS = 100_000;
    private static final Address SELF = new Address("10.0.0.1", 7_000);
    private static final Address OTHER = new Address("10.0.0.2", 7_000);
    private static final FallbackQuota.Tolerance TOLERANCE =
            new FallbackQuota.Tolerance(5, 0.25, 20);

    private final MemberTokenBuckets mBuckets =
            new MemberTokenBuckets(owners(true), FallbackQuota.Tolerance.NONE, 0);

    @Test
    void grantsTheBurstAndThenTheRate() {
        assertThat(grant(20, LATER_MILLIS).granted()).isEqualTo(5);
        assertThat(grant(20, LATER_MILLIS + 1_000).granted()).isEqualTo(5);
        assertThat(grant(20, LATER_MILLIS + 1_100).granted()).isEqualTo(1);
    }

    @Test
    void refusedRequestsGetDifferentRetryTimes() {
        grant(5, LATER_MILLIS);

        assertThat(grant(1, LATER_MILLIS).retryAfterMillis()).isEqualTo(100);
        assertThat(grant(1, LATER_MILLIS).retryAfterMillis()).isEqualTo(200);
        assertThat(grant(3, LATER_MILLIS).retryAfterMillis()).isEqualTo(300);
        assertThat(grant(1, LATER_MILLIS).retryAfterMillis()).isEqualTo(600);
        assertThat(grant(1, LATER_MILLIS + 100).granted()).isEqualTo(1);
    }

    // Guards against an owner that grants its saved tokens again after being killed and restarted.
    @Test
    void aNewBucketIsNotFull() {
        MemberTokenBuckets restarted =
                new MemberTokenBuckets(owners(true), FallbackQuota.Tolerance.NONE, LATER_MILLIS);

        TokenGrant grant =
                restarted.grant(
                        "stable", LIMIT, 20, MemberTokenBuckets.Authority.OWNER, LATER_MILLIS);

        assertThat(grant.granted()).isEqualTo(2);
    }

    // Guards against a backup owner that doubles the limit while the owner still grants to others.
    @Test
    void uptimeDoesNotFillTheNewBucketOfABackupOwner() {
        TokenGrant grant =
                mBuckets.grant("stable", LIMIT, 20, backupSince(LATER_MILLIS), LATER_MILLIS);

        assertThat(grant.granted()).isEqualTo(2);
    }

    @Test
    void aBucketIsDroppedWhenTheOwnerChanges() {
        grant(5, LATER_MILLIS);
        mBuckets.fleetChanged(owners(false), LATER_MILLIS);

        assertThat(mBuckets.availableTokens("stable")).isZero();
        assertThat(grant(20, LATER_MILLIS + 1).granted()).isEqualTo(2);
    }

    @Test
    void aLowerLimitCapsSavedTokens() {
        grant(1, LATER_MILLIS);
        RateLimit lower = new RateLimit(1, 1);

        TokenGrant grant =
                mBuckets.grant(
                        "stable", lower, 20, MemberTokenBuckets.Authority.OWNER, LATER_MILLIS + 10);

        assertThat(grant.granted()).isEqualTo(1);
    }

    // Guards against members within their limits that are refused for seconds after their owner
    // has left, since the tokens that they saved up are lost.
    @Test
    void theFirstReplacementWithinAWindowStartsWithToleratedTokens() {
        MemberTokenBuckets buckets = new MemberTokenBuckets(owners(false), TOLERANCE, 0);
        buckets.fleetChanged(owners(true), LATER_MILLIS);

        assertThat(grant(buckets, MemberTokenBuckets.Authority.OWNER, LATER_MILLIS)).isEqualTo(8);
    }

    // Guards against an owner that leaves and returns several times a window and each time grants
    // tolerated tokens anew.
    @Test
    void theSecondReplacementWithinAWindowStartsLow() {
        MemberTokenBuckets buckets = new MemberTokenBuckets(owners(true), TOLERANCE, 0);
        buckets.fleetChanged(owners(false), LATER_MILLIS);
        buckets.fleetChanged(owners(true), LATER_MILLIS + 1_000);

        assertThat(grant(buckets, MemberTokenBuckets.Authority.OWNER, LATER_MILLIS + 1_000))
                .isEqualTo(2);
    }

    // Guards against lost datagrams after which a backup owner grants tokens that have accrued
    // while the owner granted them too.
    @Test
    void aBackupOwnerGrantsOnlyWhatAccruedWhileTheOwnerWasSilent() {
        assertThat(grant(mBuckets, backupSince(LATER_MILLIS), LATER_MILLIS)).isEqualTo(2);

        long nowMillis = LATER_MILLIS + 500;
        assertThat(grant(mBuckets, backupSince(nowMillis), nowMillis)).isZero();
        assertThat(grant(mBuckets, backupSince(nowMillis), nowMillis + 300)).isEqualTo(3);
    }

    private static int grant(
            MemberTokenBuckets buckets, MemberTokenBuckets.Authority authority, long nowMillis) {
        return buckets.grant("stable", LIMIT, 20, authority, nowMillis).granted();
    }

    private static MemberTokenBuckets.Authority backupSince(long sinceMillis) {
        return new MemberTokenBuckets.Authority(MemberTokenBuckets.Role.BACKUP_OWNER, sinceMillis);
    }

    private static MemberOwners owners(boolean isOwner) {
        return isOwner
                ? MemberOwners.of(SELF, List.of())
                : MemberOwners.of(SELF, List.of(OTHER), false);
    }

    private TokenGrant grant(int requested, long nowMillis) {
        return mBuckets.grant(
                "stable", LIMIT, requested, MemberTokenBuckets.Authority.OWNER, nowMillis);
    }
}
