package org.apricotgauge.decision.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;

/** Tests since when a node counts as silent. */
class UnresponsiveNodesTest {
    private static final Address NODE = new Address("10.0.0.1", 7_000);
    private static final long LATER_MILLIS = 60_000;

    private final UnresponsiveNodes mNodes = new UnresponsiveNodes();

    // Guards against a lost datagram that is taken for the silence of a minute.
    @Test
    void aNodeThatWasNotAskedAgainIsSilentAnew() {
        mNodes.markUnresponsive(NODE, 0);
        assertThat(mNodes.sinceMillis(NODE, LATER_MILLIS)).isEqualTo(LATER_MILLIS);

        mNodes.markUnresponsive(NODE, LATER_MILLIS);
        assertThat(mNodes.sinceMillis(NODE, LATER_MILLIS + 10)).isEqualTo(LATER_MILLIS);
    }

    // Guards against members of a dead owner that are granted no tokens at its backup owner.
    @Test
    void aNodeThatIsAskedAgainAndAgainIsSilentAllTheTime() {
        for (long now = 0; now < LATER_MILLIS; now += UnresponsiveNodes.SKIPPED_MILLIS + 300) {
            mNodes.markUnresponsive(NODE, now);
            assertThat(mNodes.sinceMillis(NODE, now)).isZero();
        }
    }
}
