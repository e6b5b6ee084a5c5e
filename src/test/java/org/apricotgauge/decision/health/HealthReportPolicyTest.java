package org.apricotgauge.decision.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which entries are notified of a target's health, and how often. */
class HealthReportPolicyTest {
    private static final double HEALTHY = 0.06;
    private static final double DEGRADED = 0.9;
    private static final double BASELINE = 0.3;
    private static final double DECAY_MILLIS = 3_000;
    private static final double IDLE = 0;

    private final HealthReportPolicy mPolicy = new HealthReportPolicy();

    @Test
    void notifiesNearEntriesRegularlyAndAllOfChanges() {
        mPolicy.recordUse("near", true, 0);
        mPolicy.recordUse("far", false, 0);

        assertThat(hostsToNotify(HEALTHY, 10)).containsExactly("near");
        assertThat(hostsToNotify(HEALTHY, 20)).isEmpty();
        assertThat(hostsToNotify(DEGRADED, 30)).containsExactlyInAnyOrder("near", "far");
        assertThat(hostsToNotify(DEGRADED, 40)).isEmpty();
        assertThat(hostsToNotify(HEALTHY, 50)).containsExactlyInAnyOrder("near", "far");
    }

    @Test
    void forgetsEntriesWithoutRecentRequests() {
        mPolicy.recordUse("near", true, 0);

        assertThat(hostsToNotify(HEALTHY, HealthReportPolicy.ENTRY_EXPIRY_MILLIS + 1)).isEmpty();
    }

    @Test
    void numberOfNotifiedEntriesIsBounded() {
        for (int i = 0; i < 10 * HealthReportPolicy.MAX_ENTRIES; i++) {
            mPolicy.recordUse("host-" + i, true, 0);
        }

        assertThat(hostsToNotify(DEGRADED, 1)).hasSize(HealthReportPolicy.MAX_ENTRIES);
    }

    @Test
    void doesNotRepeatWhatEntriesCanDerive() {
        mPolicy.recordUse("near", true, 0);
        DegradationEstimate estimate = new DegradationEstimate(HEALTHY, BASELINE, DECAY_MILLIS, 10);
        assertThat(mPolicy.hostsToNotify(estimate, IDLE, 10)).containsExactly("near");

        long laterMillis = 10 + 2 * HealthReportPolicy.MIN_INTERVAL_MILLIS;
        assertThat(mPolicy.hostsToNotify(estimate, IDLE, laterMillis)).isEmpty();
        assertThat(mPolicy.hostsToNotify(estimate, HealthReportPolicy.LOAD_TOLERANCE, laterMillis))
                .containsExactly("near");
    }

    @Test
    void reportsNewSuccessOnceLastReportHasDecayed() {
        mPolicy.recordUse("near", true, 0);
        assertThat(hostsToNotify(HEALTHY, 10)).containsExactly("near");

        assertThat(hostsToNotify(HEALTHY, 10 + (long) DECAY_MILLIS)).containsExactly("near");
    }

    private List<String> hostsToNotify(double probability, long nowMillis) {
        DegradationEstimate estimate =
                new DegradationEstimate(probability, BASELINE, DECAY_MILLIS, nowMillis);
        return mPolicy.hostsToNotify(estimate, IDLE, nowMillis);
    }
}
