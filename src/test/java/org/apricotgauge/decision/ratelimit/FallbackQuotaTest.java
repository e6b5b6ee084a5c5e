package org.apricotgauge.decision.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.model.RateLimit;
import org.junit.jupiter.api.Test;

/** Tests how many requests all isolated nodes grant together. */
class FallbackQuotaTest {
    private static final RateLimit LIMIT = new RateLimit(8, 8);
    private static final FallbackQuota.Tolerance TOLERANCE =
            new FallbackQuota.Tolerance(5, 0.25, 20);

    // Guards against a fleet of isolated nodes that grant one request each.
    @Test
    void allNodesTogetherGrantHalfOfTheTolerance() {
        int granted = 0;
        for (int rank = 0; rank < 1_000; rank++) {
            FallbackQuota quota = new FallbackQuota(TOLERANCE);
            granted += quota.tryAcquire("stable", LIMIT, rank, 0) ? 1 : 0;
            granted += quota.tryAcquire("stable", LIMIT, rank, 5_000) ? 1 : 0;
        }
        assertThat(granted).isEqualTo(16);
    }

    @Test
    void eachWindowHasItsOwnQuota() {
        FallbackQuota quota = new FallbackQuota(TOLERANCE);
        assertThat(quota.tryAcquire("stable", LIMIT, 0, 0)).isTrue();

        assertThat(quota.tryAcquire("stable", LIMIT, 0, 5_001)).isTrue();
    }

    @Test
    void withoutToleranceNothingIsGranted() {
        assertThat(
                        new FallbackQuota(FallbackQuota.Tolerance.NONE)
                                .tryAcquire("stable", LIMIT, 0, 0))
                .isFalse();
    }
}
