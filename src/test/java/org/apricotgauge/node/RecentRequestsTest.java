package org.apricotgauge.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.api.Test;

/** Which requests have lost a call of theirs. */
class LostCallsTest {
    private final ManualTicker mTicker = new ManualTicker();
    private final LostCalls mCalls = new LostCalls(mTicker);

    @Test
    void remembersARequestUntilItMustHaveEnded() {
        mCalls.failed("one");

        assertThat(mCalls.contains("one")).isTrue();
        assertThat(mCalls.contains("two")).isFalse();
        mTicker.advanceMillis(21_000);
        assertThat(mCalls.contains("one")).isFalse();
    }
}
