package org.apricotgauge.predecessor;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apricotgauge.decision.attempt.IdempotencyKey;
import org.junit.jupiter.api.Test;

class SharePolicyTest {
    private static final int REQUESTS = 100_000;

    private static int bucket(int i) {
        return SharePolicy.bucketOf("orders", "firm-" + i % 7, "site", "/orders?n=" + i);
    }

    @Property(seed = "71")
    void growingShareMovesEachBucketOnceAndOnlyToTheFleet(
            @ForAll int request,
            @ForAll @IntRange(max = 100) int small,
            @ForAll @IntRange(max = 100) int large) {
        boolean before = SharePolicy.isServedByFleet(bucket(request), Math.min(small, large));
        boolean after = SharePolicy.isServedByFleet(bucket(request), Math.max(small, large));

        assertThat(!before || after).isTrue();
        assertThat(SharePolicy.isServedByFleet(bucket(request), 0)).isFalse();
        assertThat(SharePolicy.isServedByFleet(bucket(request), 100)).isTrue();
    }

    @Test
    void bucketsReceiveEqualShares() {
        int[] counts = new int[100];
        for (int i = 0; i < REQUESTS; i++) {
            counts[bucket(i)]++;
        }

        // 1,000 expected each; five standard deviations of a binomial count are 157.
        assertThat(Arrays.stream(counts)).allMatch(count -> Math.abs(count - 1_000) < 157);
    }

    @Test
    void bucketsAreStableAcrossReleasesAndProcesses() {
        IdempotencyKey key = new IdempotencyKey("orders", "firm-3", "k-1");

        assertThat(SharePolicy.bucketOf(key)).isEqualTo(KEYED);
        assertThat(SharePolicy.bucketOf("orders", "firm-3", "SITE", "/orders?day=7"))
                .isEqualTo(SharePolicy.bucketOf("orders", "firm-3", "site", "/orders?day=7"))
                .isEqualTo(UNKEYED);
    }

    private static final int KEYED = 3;
    private static final int UNKEYED = 56;
}
