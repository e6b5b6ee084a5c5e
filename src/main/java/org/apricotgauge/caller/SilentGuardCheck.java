package org.apricotgauge.caller;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.apricotgauge.model.Address;

/**
 * Finds out whether a silent guard is gone or only slow.
 *
 * <pre>{@code
 * new SilentGuardCheck(context, guard, this::hasEnded, this::onGuardGone).start();
 * }</pre>
 *
 * <p>The kernel accepts connections for a process that gets no processor time. A guard that can't
 * be connected to, twice in a row, has lost its VM or the path to it, and answers nothing any more.
 */
final class SilentGuardCheck {
    private static final int FAILURES_OF_A_LOST_GUARD = 2;
    private static final long FIRST_INTERVAL_MILLIS = 500;
    private static final int INTERVAL_GROWTH = 2;

    private final EntryContext mContext;
    private final Address mGuard;
    private final BooleanSupplier mIsOver;
    private final Runnable mOnGone;
    private final AtomicBoolean mStarted = new AtomicBoolean();
    private long mIntervalMillis = FIRST_INTERVAL_MILLIS;
    private int mFailures;

    /**
     * Creates a check that has not been started.
     *
     * @param isOver whether nothing is expected of the guard any more
     * @param onGone called once if the guard is gone
     */
    SilentGuardCheck(EntryContext context, Address guard, BooleanSupplier isOver, Runnable onGone) {
        mContext = context;
        mGuard = guard;
        mIsOver = isOver;
        mOnGone = onGone;
    }

    /** Starts to connect, at growing intervals, until it is over; later calls do nothing. */
    void start() {
        if (mStarted.compareAndSet(false, true)) {
            connect();
        }
    }

    private void connect() {
        if (!mIsOver.getAsBoolean()) {
            mContext.guards()
                    .tryConnect(mGuard)
                    .whenComplete((connected, failure) -> onConnected(failure == null));
        }
    }

    // One connection is tried after the other, so that these calls don't overlap.
    private void onConnected(boolean connected) {
        mFailures = connected ? 0 : mFailures + 1;
        if (mFailures == FAILURES_OF_A_LOST_GUARD) {
            mContext.metrics().guardsGone().inc();
            mOnGone.run();
            return;
        }
        mContext.scheduler().schedule(this::connect, mIntervalMillis, TimeUnit.MILLISECONDS);
        mIntervalMillis = connected ? mIntervalMillis * INTERVAL_GROWTH : FIRST_INTERVAL_MILLIS;
    }
}
