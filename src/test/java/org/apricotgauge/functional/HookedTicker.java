package org.apricotgauge.functional;

import org.apricotgauge.time.Ticker;

/** The system's clock, which runs an action each time that it is read. */
final class HookedTicker implements Ticker {
    private final Ticker mTicker = Ticker.system();
    private volatile Runnable mOnRead = () -> {};

    void onRead(Runnable action) {
        mOnRead = action;
    }

    @Override
    public long nanos() {
        mOnRead.run();
        return mTicker.nanos();
    }
}
