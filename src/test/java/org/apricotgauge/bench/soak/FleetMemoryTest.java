package org.apricotgauge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A soak has to stay within half of the machine's memory. */
class FleetMemoryTest {
    private static final long GIBIBYTE = 1L << 30;

    // Guards against a fleet that takes the memory of all else on the machine.
    @Test
    void moreNodesThanHalfOfTheMemoryHoldsAreRefused() {
        FleetMemory memory = new FleetMemory(32 * GIBIBYTE);
        assertThat(memory.maxNodes()).isEqualTo(102);
        assertThat(memory.refusal(102)).isEmpty();
        assertThat(memory.refusal(103))
                .hasValueSatisfying(
                        reason ->
                                assertThat(reason)
                                        .contains("103 nodes")
                                        .contains("half of the machine's 32768 MB")
                                        .contains("at most 102"));
    }

    // Guards against a limit on machines that have the memory for three hundred nodes.
    @Test
    void threeHundredNodesFitIntoAGreatMachine() {
        assertThat(new FleetMemory(128 * GIBIBYTE).refusal(300)).isEmpty();
    }
}
