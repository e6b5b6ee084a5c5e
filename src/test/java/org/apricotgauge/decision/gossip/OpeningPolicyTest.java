package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OpeningPolicyTest {
    private static final OpeningPolicy POLICY = new OpeningPolicy(10_000);

    private static OpeningPolicy.Decision decide(
            long position, long heard, boolean platform, boolean failed, int domains, long waited) {
        return POLICY.decide(
                new OpeningPolicy.Observation(
                        position, heard, platform, failed, true, domains, 5, waited));
    }

    @Test
    void waitsForSeveralFailureDomainsAndForTheHighest() {
        assertThat(decide(4, 4, true, false, 2, 1_000))
                .isEqualTo(OpeningPolicy.Decision.WAIT_FOR_ANSWERS);
        assertThat(decide(4, 5, true, false, 3, 1_000))
                .isEqualTo(OpeningPolicy.Decision.WAIT_FOR_RECORDS);
        assertThat(decide(5, 5, true, false, 3, 1_000)).isEqualTo(OpeningPolicy.Decision.OPEN);
        assertThat(decide(5, 5, false, true, 3, 1_000)).isEqualTo(OpeningPolicy.Decision.OPEN);
    }

    @Test
    void doesNotTakeAnUnknownListOfVmsForAnEmptyOne() {
        // Caller: a fresh node serves an old version. Only the platform, which is stale, has
        // answered yet; no VM is known, so no peer is missed.
        OpeningPolicy.Observation early =
                new OpeningPolicy.Observation(2, 2, true, false, false, 0, 0, 100);
        assertThat(POLICY.decide(early)).isEqualTo(OpeningPolicy.Decision.WAIT_FOR_ANSWERS);
    }

    @Test
    void opensOnPartOfTheAnswersAfterItsPatienceButNeverOnNone() {
        assertThat(decide(4, 4, true, false, 1, 10_000)).isEqualTo(OpeningPolicy.Decision.OPEN);
        assertThat(decide(0, 0, false, true, 0, 3_600_000))
                .isEqualTo(OpeningPolicy.Decision.WAIT_ALONE);
        assertThat(decide(4, 9, true, false, 1, 3_600_000))
                .isEqualTo(OpeningPolicy.Decision.WAIT_FOR_RECORDS);
    }
}
