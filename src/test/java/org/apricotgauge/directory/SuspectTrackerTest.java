package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;

class SuspectTrackerTest {
    private static final Address NODE = new Address("10.0.0.1", 80);

    private final SuspectTracker mSuspects = new SuspectTracker();

    @Test
    void suspicionDurationDoublesWithEachFailure() {
        long nowMillis = 0;
        for (long lengthMillis = SuspectTracker.INITIAL_MILLIS;
                lengthMillis <= SuspectTracker.MAX_MILLIS;
                lengthMillis *= 2) {
            mSuspects.recordFailure(NODE, nowMillis);
            assertThat(mSuspects.contains(NODE, nowMillis + lengthMillis - 1)).isTrue();
            nowMillis += lengthMillis;
            assertThat(mSuspects.contains(NODE, nowMillis)).isFalse();
        }
        mSuspects.recordFailure(NODE, nowMillis);
        assertThat(mSuspects.contains(NODE, nowMillis + SuspectTracker.MAX_MILLIS)).isFalse();
    }

    @Test
    void successResetsSuspicionDuration() {
        mSuspects.recordFailure(NODE, 0);
        mSuspects.recordFailure(NODE, 0);
        mSuspects.recordSuccess(NODE);
        assertThat(mSuspects.isEmpty()).isTrue();

        mSuspects.recordFailure(NODE, 0);

        assertThat(mSuspects.contains(NODE, SuspectTracker.INITIAL_MILLIS)).isFalse();
    }

    @Test
    void oldFailureIsForgotten() {
        mSuspects.recordFailure(NODE, 0);
        long laterMillis = SuspectTracker.INITIAL_MILLIS + SuspectTracker.MAX_MILLIS + 1;

        mSuspects.recordFailure(NODE, laterMillis);

        assertThat(mSuspects.contains(NODE, laterMillis + SuspectTracker.INITIAL_MILLIS)).isFalse();
    }
}
