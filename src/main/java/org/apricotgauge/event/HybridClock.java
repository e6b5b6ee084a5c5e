package org.apricotgauge.event;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.apricotgauge.model.Checks;

/**
 * A hybrid logical clock: near wall time, yet never against causality.
 *
 * <pre>{@code
 * HybridClock clock = new HybridClock(InstantSource.system());
 * message.setHlc(clock.now());          // before sending
 * clock.observe(received.hlc());        // on receiving, before acting on the message
 * }</pre>
 *
 * <p>A wall clock that stands still or goes back only makes the logical counter grow. Lock-free and
 * safe to share. Source: Kulkarni et al., "Logical Physical Clocks" (OPODIS 2014), with the bound
 * on drift of its section 5.
 */
public final class HybridClock {
    /** The bound that nodes use: wall clocks more than an hour apart are a fault to be mended. */
    public static final long DEFAULT_MAX_DRIFT_MILLIS = 3_600_000;

    private final InstantSource mWallClock;
    private final long mMaxDriftMillis;
    private final AtomicReference<HlcTimestamp> mLast =
            new AtomicReference<>(new HlcTimestamp(0, 0));
    private final AtomicLong mRefused = new AtomicLong();

    /** Creates a clock with the usual bound on drift. */
    public HybridClock(InstantSource wallClock) {
        this(wallClock, DEFAULT_MAX_DRIFT_MILLIS);
    }

    /**
     * Creates a clock.
     *
     * @param wallClock the machine's wall clock
     * @param maxDriftMillis how far ahead of it an observed reading may be, in milliseconds
     */
    public HybridClock(InstantSource wallClock, long maxDriftMillis) {
        mWallClock = Checks.notNull("wallClock", wallClock);
        mMaxDriftMillis = Checks.inRange("maxDriftMillis", maxDriftMillis, 0, Long.MAX_VALUE / 2);
    }

    /** Returns a reading greater than every one returned or observed before. */
    public HlcTimestamp now() {
        long wallMillis = wallMillis();
        return mLast.updateAndGet(last -> last.next(wallMillis));
    }

    /**
     * Takes in a reading from another process, and returns one greater than both.
     *
     * <p>A reading beyond the bound on drift is counted and otherwise left out: a single corrupt
     * one would else carry every clock of the fleet away with it. What is lost is the order against
     * that one process, which the time line restores from the causes that events name.
     */
    public HlcTimestamp observe(HlcTimestamp remote) {
        Checks.notNull("remote", remote);
        long wallMillis = wallMillis();
        if (remote.millis() - wallMillis > mMaxDriftMillis) {
            mRefused.incrementAndGet();
            return now();
        }
        return mLast.updateAndGet(last -> last.max(remote).next(wallMillis));
    }

    /** Returns how many observed readings lay beyond the bound on drift. */
    public long refusedCount() {
        return mRefused.get();
    }

    /** Returns the wall time in milliseconds since 1970. */
    long wallMillis() {
        return Math.max(0, mWallClock.millis());
    }
}
