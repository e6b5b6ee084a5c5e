package org.apricotgauge.time;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SuspendAwareClockTest {
    private final ManualTicker mTicker = new ManualTicker();
    private long mWallOffsetMillis = 1_000_000;
    private final SuspendAwareClock mClock =
            new SuspendAwareClock(mTicker, () -> mTicker.millis() + mWallOffsetMillis);

    @Test
    void countsSuspensionThatMonotonicClockMisses() {
        // A VM is suspended for 1.2 s, which is too short to be detected as a pause. With a plain
        // monotonic clock, its node reported an age of 0.1 s for its view of the site; other nodes
        // adopted that view and sent requests to a target that had left 1.3 s before.
        long before = mClock.millis();

        mTicker.advanceMillis(100);
        mWallOffsetMillis += 1_200;

        assertThat(mClock.millis() - before).isEqualTo(1_300);
    }

    @Test
    void doesNotGoBackWithWallClock() {
        long before = mClock.millis();

        mWallOffsetMillis -= 60_000;
        mTicker.advanceMillis(100);

        assertThat(mClock.millis() - before).isEqualTo(100);
        mTicker.advanceMillis(100);
        assertThat(mClock.millis() - before).isEqualTo(200);
    }
}
