package org.apricotgauge.node;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.apricotgauge.stop.StopSchedule;

/** Waits, within the schedule of a stop, for requests in flight to end. */
final class IdleWait {
    private static final long POLL_MILLIS = 10;

    private final StopSchedule mStop;
    private final IntSupplier mInFlight;

    IdleWait(StopSchedule stop, IntSupplier inFlight) {
        mStop = stop;
        mInFlight = inFlight;
    }

    /** Waits until so much time has passed since the stop began, at most to its end. */
    void awaitElapsed(long elapsedMillis) throws InterruptedException {
        while (mStop.elapsedMillis() < elapsedMillis && mStop.remainingMillis() > 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    /** Waits until nothing is in flight, or so much of the stop's time is left; whether idle. */
    boolean awaitIdle(long remainingMillis) throws InterruptedException {
        while (mInFlight.getAsInt() > 0 && mStop.remainingMillis() > remainingMillis) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        return mInFlight.getAsInt() == 0;
    }
}
