package org.apricotgauge.decision.allotment;

import static org.assertj.core.api.Assertions.assertThat;

import org.apricotgauge.model.RateLimit;
import org.junit.jupiter.api.Test;

/** The tokens of members at their home. */
class LenderTest {
    private static final RateLimit LIMIT = new RateLimit(10, 5);
    private static final long LATER_MILLIS = 100_000;

    private final Lender mLender = new Lender(Reserve.Tolerance.NONE, 0);

    @Test
    void grantsTheBurstAndThenTheRate() {
        assertThat(lend(20, LATER_MILLIS).granted()).isEqualTo(5);
        assertThat(lend(20, LATER_MILLIS + 1_000).granted()).isEqualTo(5);
        assertThat(lend(20, LATER_MILLIS + 1_100).granted()).isEqualTo(1);
    }

    @Test
    void tellsEachThatIsRefusedAnotherTimeToComeBack() {
        lend(5, LATER_MILLIS);

        assertThat(lend(1, LATER_MILLIS).retryAfterMillis()).isEqualTo(100);
        assertThat(lend(1, LATER_MILLIS).retryAfterMillis()).isEqualTo(200);
        assertThat(lend(1, LATER_MILLIS + 100).granted()).isEqualTo(1);
    }

    // Guards against a home that is killed and started again to grant its savings twice.
    @Test
    void aNewBucketHasNoSavings() {
        Lender restarted = new Lender(Reserve.Tolerance.NONE, LATER_MILLIS);

        Answer answer = restarted.lend("stable", LIMIT, 20, Lender.Role.HOME, LATER_MILLIS);

        assertThat(answer.granted()).isEqualTo(2);
    }

    // Guards against a stand-in that doubles the limit while the home still lends to others.
    @Test
    void aStandInStartsWithLittleHoweverLongItHasRun() {
        Answer answer = mLender.lend("stable", LIMIT, 20, Lender.Role.STAND_IN, LATER_MILLIS);

        assertThat(answer.granted()).isEqualTo(2);
    }

    @Test
    void aBucketIsDroppedOnceTheMemberHasAnotherHome() {
        lend(5, LATER_MILLIS);
        mLender.fleetChanged(member -> false, LATER_MILLIS);

        assertThat(mLender.tokensLeft("stable")).isZero();
        assertThat(lend(20, LATER_MILLIS + 1).granted()).isEqualTo(2);
    }

    @Test
    void aLowerLimitTakesAwayWhatWasSaved() {
        lend(1, LATER_MILLIS);
        RateLimit lower = new RateLimit(1, 1);

        Answer answer = mLender.lend("stable", lower, 20, Lender.Role.HOME, LATER_MILLIS + 10);

        assertThat(answer.granted()).isEqualTo(1);
    }

    private Answer lend(int asked, long nowMillis) {
        return mLender.lend("stable", LIMIT, asked, Lender.Role.HOME, nowMillis);
    }
}
