package org.apricotgauge.decision.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.model.RateLimit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how many requests all isolated nodes grant together. */
class FallbackQuotaTest {
    private static final RateLimit LIMIT = new RateLimit(8, 8);
    private static final FallbackQuota.Tolerance TOLERANCE =
            new FallbackQuota.Tolerance(5, 0.25, 20);

    // Guards against a fleet of isolated nodes that grant one request each.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 15, 16, 1_000})
    void allNodesTogetherGrantWhatBucketsLeaveOfTheTolerance(int nodes) {
        int granted = 0;
        for (int rank = 0; rank < nodes; rank++) {
            FallbackQuota quota = new FallbackQuota(TOLERANCE);
            for (int request = 0; request < 100; request++) {
                long nowMillis = 50 * request;
                granted += quota.tryAcquire("stable", LIMIT, rank, nodes, nowMillis) ? 1 : 0;
            }
        }
        assertThat(granted).isEqualTo(15);
        double inBuckets =
                TOLERANCE.extraBurst() + TOLERANCE.initialFill(LIMIT) + TOLERANCE.backupFill(LIMIT);
        assertThat(granted + inBuckets).isLessThanOrEqualTo(TOLERANCE.toleratedRequests(LIMIT));
    }

    @Test
    void eachWindowHasItsOwnQuota() {
        FallbackQuota quota = new FallbackQuota(TOLERANCE);
        assertThat(quota.tryAcquire("stable", LIMIT, 0, 20, 0)).isTrue();
        assertThat(quota.tryAcquire("stable", LIMIT, 0, 20, 5_000)).isFalse();

        assertThat(quota.tryAcquire("stable", LIMIT, 0, 20, 5_001)).isTrue();
    }

    @Test
    void withoutToleranceNothingIsGranted() {
        assertThat(
                        new FallbackQuota(FallbackQuota.Tolerance.NONE)
                                .tryAcquire("stable", LIMIT, 0, 20, 0))
                .isFalse();
    }
}
