package org.apricotgauge.stop;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;
import org.apricotgauge.model.Address;
import org.apricotgauge.model.Checks;
import org.apricotgauge.time.Ticker;

/**
 * The planned stops that peers have announced, by the address of their guards.
 *
 * <pre>{@code
 * stops.record(guard, incarnation, 5_800);
 * long remainingMillis = stops.remainingMillis(guard);
 * }</pre>
 *
 * <p>A stop is forgotten once its end has passed, or another incarnation of the guard answers.
 * Nodes of earlier releases announce none. Thread-safe; reading costs nothing while nobody stops.
 */
public final class PeerStops {
    /** Stops known at most; twice the largest fleet. */
    private static final int MAX_STOPS = 16_384;

    private final Ticker mTicker;
    private final Listener mListener;
    private final ConcurrentMap<Address, Stop> mStops = new ConcurrentHashMap<>();
    private final LongAdder mMalformed = new LongAdder();

    private record Stop(long incarnation, long endMillis) {}

    /** Is notified of each stop once, on the thread that records it. */
    @FunctionalInterface
    public interface Listener {
        /** Called with the guard that stops and the time until its end. */
        void onStopKnown(Address guard, long remainingMillis);
    }

    /** Creates a table without stops. */
    public PeerStops(Ticker ticker) {
        this(ticker, (guard, remainingMillis) -> {});
    }

    /** Creates a table without stops that notifies a listener of each one. */
    public PeerStops(Ticker ticker, Listener listener) {
        mTicker = Checks.notNull("ticker", ticker);
        mListener = Checks.notNull("listener", listener);
    }

    /**
     * Records that a guard's process ends.
     *
     * @param incarnation incarnation of the guard that announced it
     * @param remainingMillis time until its end
     * @return whether no stop of this incarnation was known
     */
    public boolean record(Address guard, long incarnation, long remainingMillis) {
        Checks.notNull("guard", guard);
        Checks.inRange("remainingMillis", remainingMillis, 0, Integer.MAX_VALUE);
        if (mStops.size() >= MAX_STOPS && !mStops.containsKey(guard)) {
            return false;
        }
        Stop stop = new Stop(incarnation, mTicker.millis() + remainingMillis);
        Stop before = mStops.put(guard, stop);
        boolean first = before == null || before.incarnation() != incarnation;
        if (first) {
            mListener.onStopKnown(guard, remainingMillis);
        }
        return first;
    }

    /** Counts an announcement that could not be read. */
    public void countMalformed() {
        mMalformed.increment();
    }

    /** Returns the number of announcements that could not be read. */
    public long malformedCount() {
        return mMalformed.sum();
    }

    /** Forgets the stops whose end has passed. */
    public void removeEnded() {
        if (mStops.isEmpty()) {
            return;
        }
        long nowMillis = mTicker.millis();
        mStops.values().removeIf(stop -> stop.endMillis() <= nowMillis);
    }

    /** Returns the number of peers that are stopping. */
    public int count() {
        removeEnded();
        return mStops.size();
    }

    /** Records an answer of a guard that announced no stop; of another incarnation, it ends one. */
    public void recordServing(Address guard, long incarnation) {
        if (mStops.isEmpty()) {
            return;
        }
        mStops.computeIfPresent(
                guard, (address, stop) -> stop.incarnation() == incarnation ? stop : null);
    }

    /** Returns the time until a guard ends; {@link StopSchedule#NOT_STOPPING} if none is known. */
    public long remainingMillis(Address guard) {
        if (mStops.isEmpty()) {
            return StopSchedule.NOT_STOPPING;
        }
        Stop stop = mStops.get(guard);
        if (stop == null) {
            return StopSchedule.NOT_STOPPING;
        }
        long remainingMillis = stop.endMillis() - mTicker.millis();
        if (remainingMillis > 0) {
            return remainingMillis;
        }
        mStops.remove(guard, stop);
        return StopSchedule.NOT_STOPPING;
    }
}
