package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConfirmationTrackerTest {
    private static final PlatformTimes TIMES = new PlatformTimes(2_000, 1_500);

    @Test
    void ageExchangedBetweenNodesGrowsWithTime() {
        // The platform is silent to all. Two nodes send each other requests, whose heads tell the
        // ages of their views; a head takes 5 ms, which nobody counts. Passed on and on, the age
        // stood still for as long as each head was on its way: after 10 s the nodes took their
        // views for half as old, and after some more, work went to targets long gone.
        ConfirmationTracker one = new ConfirmationTracker(TIMES, 0);
        ConfirmationTracker other = new ConfirmationTracker(TIMES, 0);
        for (long nowMillis = 10; nowMillis <= 10_000; nowMillis += 10) {
            other.recordPeerConfirmation(
                    nowMillis - one.reportedAgeMillis(nowMillis - 5), nowMillis);
            one.recordPeerConfirmation(
                    nowMillis + 5 - other.reportedAgeMillis(nowMillis), nowMillis + 5);
        }

        assertThat(one.ageMillis(10_000)).isGreaterThanOrEqualTo(9_990);
        assertThat(other.ageMillis(10_000)).isGreaterThanOrEqualTo(9_990);
    }

    @Test
    void reportsReadsButNotPeerConfirmations() {
        ConfirmationTracker confirmations = new ConfirmationTracker(TIMES, 0);

        confirmations.recordPeerConfirmation(900, 1_000);
        assertThat(confirmations.ageMillis(1_000)).isEqualTo(100);
        assertThat(confirmations.reportedAgeMillis(1_000)).isEqualTo(1_000);
        confirmations.recordRead(950, 1_000);

        assertThat(confirmations.ageMillis(1_000)).isEqualTo(50);
        assertThat(confirmations.reportedAgeMillis(1_000)).isEqualTo(50);
    }

    /** Guards against a target that keeps its place beyond its end because this process paused. */
    @Test
    void pauseShorterThanExpiryOutageDoesNotExtendRetention() {
        ConfirmationTracker confirmations = new ConfirmationTracker(TIMES, 0);

        confirmations.reset();
        confirmations.recordRead(TIMES.minExpiryOutageMillis() - 1, TIMES.minExpiryOutageMillis());

        assertThat(confirmations.retainUntilMillis(TIMES.minExpiryOutageMillis()))
                .isLessThanOrEqualTo(TIMES.minExpiryOutageMillis() + TIMES.maxRetentionMillis());
    }
}
