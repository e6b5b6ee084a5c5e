package org.apricotgauge.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.model.Address;
import org.junit.jupiter.api.Test;

class SuspectsTest {
    private static final Address NODE = new Address("10.0.0.1", 80);

    private final Suspects mSuspects = new Suspects();

    @Test
    void aNodeThatGoesOnFailingIsPassedOverForLongerAndLonger() {
        long nowMillis = 0;
        for (long lengthMillis = Suspects.FIRST_MILLIS;
                lengthMillis <= Suspects.LONGEST_MILLIS;
                lengthMillis *= 2) {
            mSuspects.suspect(NODE, nowMillis);
            assertThat(mSuspects.contains(NODE, nowMillis + lengthMillis - 1)).isTrue();
            nowMillis += lengthMillis;
            assertThat(mSuspects.contains(NODE, nowMillis)).isFalse();
        }
        mSuspects.suspect(NODE, nowMillis);
        assertThat(mSuspects.contains(NODE, nowMillis + Suspects.LONGEST_MILLIS)).isFalse();
    }

    @Test
    void aNodeThatAnswersBeginsAnew() {
        mSuspects.suspect(NODE, 0);
        mSuspects.suspect(NODE, 0);
        mSuspects.trust(NODE);
        assertThat(mSuspects.isEmpty()).isTrue();

        mSuspects.suspect(NODE, 0);

        assertThat(mSuspects.contains(NODE, Suspects.FIRST_MILLIS)).isFalse();
    }

    @Test
    void aFailureOfLongAgoIsForgotten() {
        mSuspects.suspect(NODE, 0);
        long laterMillis = Suspects.FIRST_MILLIS + Suspects.LONGEST_MILLIS + 1;

        mSuspects.suspect(NODE, laterMillis);

        assertThat(mSuspects.contains(NODE, laterMillis + Suspects.FIRST_MILLIS)).isFalse();
    }
}
