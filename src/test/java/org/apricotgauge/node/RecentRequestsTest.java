package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.api.Test;

/** Tests how long a request is retained. */
class RecentRequestsTest {
    private final ManualTicker mTicker = new ManualTicker();
    private final RecentRequests mRequests = new RecentRequests(mTicker);

    @Test
    void retainsRequestUntilItMustHaveEnded() {
        mRequests.add("one");

        assertThat(mRequests.contains("one")).isTrue();
        assertThat(mRequests.contains("two")).isFalse();
        mRequests.add("three");
        mRequests.remove("three");
        assertThat(mRequests.contains("three")).isFalse();
        mTicker.advanceMillis(21_000);
        assertThat(mRequests.contains("one")).isFalse();
    }
}
