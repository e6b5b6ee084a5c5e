package org.apricotgauge.decision.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReadinessPolicyTest {
    private static final ReadinessPolicy POLICY = new ReadinessPolicy(10_000);

    private static ReadinessPolicy.Decision decide(
            long position, long heard, boolean platform, boolean failed, int domains, long waited) {
        return POLICY.decide(
                new ReadinessPolicy.Observation(
                        position, heard, platform, failed, true, domains, 5, waited));
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
        // Caller: a fresh node serves an old version. Only the platform, which is stale, has
        // answered yet; no VM is known, so no peer is missed.
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
