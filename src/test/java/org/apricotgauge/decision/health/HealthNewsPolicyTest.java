package org.apricotgauge.decision.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which entries hear of a target's health, and how often. */
class HealthNewsPolicyTest {
    private static final double WELL = 0.06;
    private static final double SICK = 0.9;
    private static final double USUAL = 0.3;
    private static final double FORGET_MILLIS = 3_000;
    private static final double IDLE = 0;

    private final HealthNewsPolicy mPolicy = new HealthNewsPolicy();

    @Test
    void nearEntriesHearRegularlyAndAllHearOfAChange() {
        mPolicy.seen("near", true, 0);
        mPolicy.seen("far", false, 0);

        assertThat(told(WELL, 10)).containsExactly("near");
        assertThat(told(WELL, 20)).isEmpty();
        assertThat(told(SICK, 30)).containsExactlyInAnyOrder("near", "far");
        assertThat(told(SICK, 40)).isEmpty();
        assertThat(told(WELL, 50)).containsExactlyInAnyOrder("near", "far");
    }

    @Test
    void anEntryThatSentNothingForLongIsForgotten() {
        mPolicy.seen("near", true, 0);

        assertThat(told(WELL, HealthNewsPolicy.RECENT_MILLIS + 1)).isEmpty();
    }

    @Test
    void howManyAreToldIsBounded() {
        for (int i = 0; i < 10 * HealthNewsPolicy.MAX_ENTRIES; i++) {
            mPolicy.seen("host-" + i, true, 0);
        }

        assertThat(told(SICK, 1)).hasSize(HealthNewsPolicy.MAX_ENTRIES);
    }

    @Test
    void whatEntriesWorkOutForThemselvesIsNotToldAgain() {
        mPolicy.seen("near", true, 0);
        HealthOutlook first = new HealthOutlook(WELL, USUAL, FORGET_MILLIS, 10);
        assertThat(mPolicy.toTell(first, IDLE, 10)).containsExactly("near");

        long laterMillis = 10 + 2 * HealthNewsPolicy.PAUSE_MILLIS;
        assertThat(mPolicy.toTell(first, IDLE, laterMillis)).isEmpty();
        assertThat(mPolicy.toTell(first, HealthNewsPolicy.LOAD_TOLERANCE, laterMillis))
                .containsExactly("near");
    }

    @Test
    void aFreshSuccessIsToldOnceTheLastOneHasFaded() {
        mPolicy.seen("near", true, 0);
        assertThat(told(WELL, 10)).containsExactly("near");

        assertThat(told(WELL, 10 + (long) FORGET_MILLIS)).containsExactly("near");
    }

    private List<String> told(double sick, long nowMillis) {
        HealthOutlook outlook = new HealthOutlook(sick, USUAL, FORGET_MILLIS, nowMillis);
        return mPolicy.toTell(outlook, IDLE, nowMillis);
    }
}
