package org.apricotgauge.decision.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.model.RateLimit;
import org.junit.jupiter.api.Test;

/** Tests the tokens of members at their owner. */
class MemberTokenBucketsTest {
    private static final RateLimit LIMIT = new RateLimit(10, 5);
    private static final long LATER_MILLIS = 100_000;

    private final MemberTokenBuckets mBuckets =
            new MemberTokenBuckets(FallbackQuota.Tolerance.NONE, 0);

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
        assertThat(grant(1, LATER_MILLIS + 100).granted()).isEqualTo(1);
    }

    // Guards against an owner that grants its saved tokens again after being killed and restarted.
    @Test
    void aNewBucketIsNotFull() {
        MemberTokenBuckets restarted =
                new MemberTokenBuckets(FallbackQuota.Tolerance.NONE, LATER_MILLIS);

        TokenGrant grant =
                restarted.grant("stable", LIMIT, 20, MemberTokenBuckets.Role.OWNER, LATER_MILLIS);

        assertThat(grant.granted()).isEqualTo(2);
    }

    // Guards against a backup owner that doubles the limit while the owner still grants to others.
    @Test
    void uptimeDoesNotFillTheNewBucketOfABackupOwner() {
        TokenGrant grant =
                mBuckets.grant(
                        "stable", LIMIT, 20, MemberTokenBuckets.Role.BACKUP_OWNER, LATER_MILLIS);

        assertThat(grant.granted()).isEqualTo(2);
    }

    @Test
    void aBucketIsDroppedWhenTheOwnerChanges() {
        grant(5, LATER_MILLIS);
        mBuckets.fleetChanged(member -> false, LATER_MILLIS);

        assertThat(mBuckets.availableTokens("stable")).isZero();
        assertThat(grant(20, LATER_MILLIS + 1).granted()).isEqualTo(2);
    }

    @Test
    void aLowerLimitCapsSavedTokens() {
        grant(1, LATER_MILLIS);
        RateLimit lower = new RateLimit(1, 1);

        TokenGrant grant =
                mBuckets.grant(
                        "stable", lower, 20, MemberTokenBuckets.Role.OWNER, LATER_MILLIS + 10);

        assertThat(grant.granted()).isEqualTo(1);
    }

    private TokenGrant grant(int requested, long nowMillis) {
        return mBuckets.grant("stable", LIMIT, requested, MemberTokenBuckets.Role.OWNER, nowMillis);
    }
}
