package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReadinessPolicyTest {
    private static final ReadinessPolicy POLICY = new ReadinessPolicy(10_000);

    private static ReadinessPolicy.Decision decide(
            long position,
            long highestKnownPosition,
            boolean platformAnswered,
            boolean platformFailed,
            int domains,
            long elapsedMillis) {
        return POLICY.decide(
                new ReadinessPolicy.Observation(
                        position,
                        highestKnownPosition,
                        platformAnswered,
                        platformFailed,
                        true,
                        domains,
                        5,
                        elapsedMillis));
    }

    @Test
    void waitsForSeveralFailureDomainsAndHighestPosition() {
        assertThat(decide(4, 4, true, false, 2, 1_000))
                .isEqualTo(ReadinessPolicy.Decision.WAIT_FOR_RESPONSES);
        assertThat(decide(4, 5, true, false, 3, 1_000))
                .isEqualTo(ReadinessPolicy.Decision.CATCHING_UP);
        assertThat(decide(5, 5, true, false, 3, 1_000)).isEqualTo(ReadinessPolicy.Decision.READY);
        assertThat(decide(5, 5, false, true, 3, 1_000)).isEqualTo(ReadinessPolicy.Decision.READY);
    }

    @Test
    void waitsWhileVmListIsUnknown() {
        // Failure: a new node serves an old version. Only the platform, which is stale, has
        // responded so far; no VM is known, so the responses of all known peers seem complete.
        ReadinessPolicy.Observation early =
                new ReadinessPolicy.Observation(2, 2, true, false, false, 0, 0, 100);
        assertThat(POLICY.decide(early)).isEqualTo(ReadinessPolicy.Decision.WAIT_FOR_RESPONSES);
    }

    @Test
    void becomesReadyOnPartialResponsesAfterTimeoutButNeverOnNone() {
        assertThat(decide(4, 4, true, false, 1, 10_000)).isEqualTo(ReadinessPolicy.Decision.READY);
        assertThat(decide(0, 0, false, true, 0, 3_600_000))
                .isEqualTo(ReadinessPolicy.Decision.NO_RESPONSE);
        assertThat(decide(4, 9, true, false, 1, 3_600_000))
                .isEqualTo(ReadinessPolicy.Decision.CATCHING_UP);
    }
}
