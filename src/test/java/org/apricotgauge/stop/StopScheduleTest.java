package org.apricotgauge.stop;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.concurrent.atomic.AtomicLong;
import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.api.Test;

class StopScheduleTest {
    private final ManualTicker mTicker = new ManualTicker();
    private final StopSchedule mSchedule = new StopSchedule(mTicker);

    @Test
    void isOpenUntilAStopBegins() {
        assertThat(mSchedule.hasBegun()).isFalse();
        assertThat(mSchedule.begun()).isNotDone();
        assertThat(mSchedule.remainingMillis()).isEqualTo(StopSchedule.NOT_STOPPING);
    }

    // Guards against a second signal that would move the end that peers were told.
    @Test
    void keepsTheEndOfTheFirstStop() {
        assertThat(mSchedule.begin(5_000)).isTrue();
        mTicker.advanceMillis(2_000);

        assertThat(mSchedule.begin(5_000)).isFalse();
        assertThat(mSchedule.begun()).isDone();
        assertThat(mSchedule.remainingMillis()).isEqualTo(3_000);
    }

    @Test
    void hasNoTimeLeftAfterTheEnd() {
        mSchedule.begin(100);
        mTicker.advanceMillis(101);
        assertThat(mSchedule.remainingMillis()).isZero();
    }

    // Guards against a busy process whose parts are told of an end that it can't keep.
    @Test
    void endsEarlierByWhatIsKeptNow() {
        AtomicLong reserveMillis = new AtomicLong();
        mSchedule.keepReserve(reserveMillis::get);
        mSchedule.begin(5_000);
        mTicker.advanceMillis(1_000);
        assertThat(mSchedule.remainingMillis()).isEqualTo(4_000);

        reserveMillis.set(300);
        assertThat(mSchedule.remainingMillis()).isEqualTo(3_700);
        assertThat(mSchedule.elapsedMillis()).isEqualTo(1_000);

        reserveMillis.set(0);
        assertThat(mSchedule.remainingMillis()).isEqualTo(4_000);
    }

    @Test
    void refusesANegativeDuration() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> mSchedule.begin(-1))
                .withMessageContaining("durationMillis");
    }
}
