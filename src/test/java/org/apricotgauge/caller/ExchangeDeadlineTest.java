package org.apricotgauge.caller;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import org.apricotgauge.decision.attempt.RetryPolicy;
import org.apricotgauge.http.FleetDialect;
import org.apricotgauge.model.Priority;
import org.apricotgauge.model.Repeatability;
import org.apricotgauge.model.Route;
import org.apricotgauge.stop.StopSchedule;
import org.apricotgauge.time.ManualTicker;
import org.junit.jupiter.api.Test;

class ExchangeDeadlineTest {
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final int ANSWERS = 20;
    private static final Route ROUTE =
            new Route("r", "*", "/", "s", Priority.NORMAL, Repeatability.BY_METHOD, TIMEOUT_MILLIS);

    private final ManualTicker mTicker = new ManualTicker();
    private final StopSchedule mStop = new StopSchedule(mTicker);
    private final RouteRunTimes mRunTimes = new RouteRunTimes();
    private final ExchangeDeadline mDeadline = deadlineOf(true);

    private ExchangeDeadline deadlineOf(boolean idempotent) {
        EntryContext context =
                new EntryContext(
                        null,
                        null,
                        null,
                        RetryPolicy.DEFAULT,
                        null,
                        mTicker,
                        null,
                        id -> Optional.empty(),
                        null,
                        FleetDialect.INSTANCE,
                        EntryOptions.TargetAccess.GUARDS_ONLY,
                        null,
                        null,
                        null,
                        mStop,
                        new HeldAnswers(),
                        new LargeBodies(false, new MetricRegistry()),
                        new ExchangesInFlight(),
                        mRunTimes,
                        LocalFirst.OFF,
                        new ShedRetries(false, null, mTicker, new MetricRegistry()),
                        null);
        return new ExchangeDeadline(
                context,
                new CallerRequest(
                        ROUTE,
                        null,
                        Priority.NORMAL,
                        TIMEOUT_MILLIS,
                        idempotent,
                        Optional.empty()));
    }

    private void recordAnswers(long millis) {
        for (int i = 0; i < ANSWERS; i++) {
            mRunTimes.recordAnswer("r", millis);
        }
    }

    /** Guards against attempts and pauses that last longer than the node. */
    @Test
    void theEndOfTheNodeBoundsTheTimeLeft() {
        assertThat(mDeadline.remainingMillis()).isEqualTo(TIMEOUT_MILLIS);

        mStop.begin(3_000);
        mTicker.advanceMillis(1_000);

        assertThat(mDeadline.remainingMillis()).isEqualTo(2_000);
        assertThat(mDeadline.millis()).isEqualTo(mTicker.millis() + 2_000);
    }

    /** Guards against targets that are told more time than the caller waits. */
    @Test
    void aLaterEndOfTheNodeAddsNoTime() {
        mStop.begin(20_000);
        mTicker.advanceMillis(1_000);

        assertThat(mDeadline.remainingMillis()).isEqualTo(7_000);
        assertThat(mDeadline.softRemainingMillis()).isEqualTo(7_000);
    }

    // Guards against a run that may not repeat and is cut by the end of its guard.
    @Test
    void requestThatMayNotRunTwiceFitsAGuardOnlyIfItsDeadlineComesFirst() {
        recordAnswers(20);
        ExchangeDeadline booking = deadlineOf(false);
        ExchangeDeadline streamed = deadlineOf(true);

        assertThat(booking.fitsGuardStop(TIMEOUT_MILLIS - 1, true)).isFalse();
        assertThat(streamed.fitsGuardStop(TIMEOUT_MILLIS - 1, false)).isFalse();
        assertThat(booking.fitsGuardStop(TIMEOUT_MILLIS, true)).isTrue();

        mTicker.advanceMillis(TIMEOUT_MILLIS - 100);
        assertThat(booking.fitsGuardStop(100, true)).isTrue();
    }

    // Guards against idle slots at a stopping guard, and against long runs that are sent to it.
    @Test
    void idempotentRequestFitsAGuardByTheRunTimesOfItsRoute() {
        assertThat(mDeadline.fitsGuardStop(5_000, true)).isFalse();

        recordAnswers(100);
        assertThat(mDeadline.fitsGuardStop(5_000, true)).isTrue();
        assertThat(mDeadline.fitsGuardStop(100, true)).isFalse();
    }
}
