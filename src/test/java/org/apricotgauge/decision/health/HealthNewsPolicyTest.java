package org.apricotgauge.decision.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which entries hear of a target's health, and how often. */
class HealthNewsPolicyTest {
    private static final double WELL = 0.06;
    private static final double SICK = 0.9;

    private final HealthNewsPolicy mPolicy = new HealthNewsPolicy();

    @Test
    void nearEntriesHearRegularlyAndAllHearOfAChange() {
        mPolicy.seen("near", true, 0);
        mPolicy.seen("far", false, 0);

        assertThat(mPolicy.toTell(WELL, 10)).containsExactly("near");
        assertThat(mPolicy.toTell(WELL, 20)).isEmpty();
        assertThat(mPolicy.toTell(SICK, 30)).containsExactlyInAnyOrder("near", "far");
        assertThat(mPolicy.toTell(SICK, 40)).isEmpty();
        assertThat(mPolicy.toTell(WELL, 50)).containsExactlyInAnyOrder("near", "far");
    }

    @Test
    void anEntryThatSentNothingForLongIsForgotten() {
        mPolicy.seen("near", true, 0);

        assertThat(mPolicy.toTell(WELL, HealthNewsPolicy.RECENT_MILLIS + 1)).isEmpty();
    }

    @Test
    void howManyAreToldIsBounded() {
        for (int i = 0; i < 10 * HealthNewsPolicy.MAX_ENTRIES; i++) {
            mPolicy.seen("host-" + i, true, 0);
        }

        assertThat(mPolicy.toTell(SICK, 1)).hasSize(HealthNewsPolicy.MAX_ENTRIES);
    }
}
