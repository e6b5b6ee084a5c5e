package org.apricotgauge.operator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.apricotgauge.model.Checks;
import org.apricotgauge.time.Ticker;

/**
 * Counts the outcomes of requests for each of the last versions of the configuration.
 *
 * <pre>{@code
 * OutcomeWindows windows = new OutcomeWindows(Ticker.system(), 64);
 * windows.versionInForce(7);
 * windows.count("roster", OutcomeKind.ANSWERED);
 * }</pre>
 *
 * <p>Safe to share. Counting is lock-free but for the first request of a service in a window. A
 * request counts in the window in which it ends. Windows are the node's alone: what a patch did is
 * worked out by {@code apricotgauge-watch} over all nodes.
 */
public final class OutcomeWindows {
    private static final int MAX_WINDOWS = 1_024;
    private static final int LIVE_WINDOWS = 2;
    private static final long STILL_IN_FORCE = Long.MAX_VALUE;

    private final Ticker mTicker;
    private final int mCapacity;
    private final Deque<VersionWindow> mPast = new ArrayDeque<>();
    private volatile Window mCurrent;
    private Window mPrevious;

    /**
     * Creates windows, the first for version 0.
     *
     * @param ticker the node's ticker
     * @param capacity windows held, the current one included
     */
    public OutcomeWindows(Ticker ticker, int capacity) {
        mTicker = Checks.notNull("ticker", ticker);
        mCapacity = (int) Checks.inRange("capacity", capacity, LIVE_WINDOWS, MAX_WINDOWS);
        mCurrent = new Window(0, ticker.millis(), new ConcurrentHashMap<>());
    }

    /** Begins the window of a version, unless it has begun or a later one has. */
    public synchronized void versionInForce(long version) {
        if (version <= mCurrent.version()) {
            return;
        }
        long nowMillis = mTicker.millis();
        // The last one but one is frozen, at a third of the memory. The last one is not, as a
        // request that ends just now may still count in it.
        if (mPrevious != null) {
            mPast.addLast(mPrevious.read(nowMillis));
        }
        mPrevious = mCurrent.endedAt(nowMillis);
        mCurrent = new Window(version, nowMillis, new ConcurrentHashMap<>());
        while (mPast.size() > Math.max(0, mCapacity - LIVE_WINDOWS)) {
            mPast.removeFirst();
        }
    }

    /** Counts one outcome in the current window. */
    public void count(String service, OutcomeKind kind) {
        mCurrent.counters(service)[kind.ordinal()].increment();
    }

    /** Returns the windows, the oldest first. */
    public synchronized List<VersionWindow> read() {
        long nowMillis = mTicker.millis();
        List<VersionWindow> windows = new ArrayList<>(mPast);
        if (mPrevious != null) {
            windows.add(mPrevious.read(nowMillis));
        }
        windows.add(mCurrent.read(nowMillis));
        return List.copyOf(windows);
    }

    /** A window that counts; the end is {@link #STILL_IN_FORCE} while its version is in force. */
    private record Window(
            long version,
            long startMillis,
            long endMillis,
            ConcurrentHashMap<String, LongAdder[]> counters) {

        Window(long version, long startMillis, ConcurrentHashMap<String, LongAdder[]> counters) {
            this(version, startMillis, STILL_IN_FORCE, counters);
        }

        Window endedAt(long nowMillis) {
            return new Window(version, startMillis, nowMillis, counters);
        }

        LongAdder[] counters(String service) {
            LongAdder[] found = counters.get(service);
            return found != null ? found : counters.computeIfAbsent(service, id -> newCounters());
        }

        VersionWindow read(long nowMillis) {
            Map<String, OutcomeCounts> services = new HashMap<>();
            counters.forEach((service, adders) -> services.put(service, counts(adders)));
            return VersionWindow.of(
                    version, Math.min(nowMillis, endMillis) - startMillis, services);
        }

        private static LongAdder[] newCounters() {
            LongAdder[] adders = new LongAdder[OutcomeKind.values().length];
            for (int i = 0; i < adders.length; i++) {
                adders[i] = new LongAdder();
            }
            return adders;
        }

        private static OutcomeCounts counts(LongAdder[] adders) {
            return new OutcomeCounts(
                    adders[OutcomeKind.ANSWERED.ordinal()].sum(),
                    adders[OutcomeKind.FAILED.ordinal()].sum(),
                    adders[OutcomeKind.NOT_RUN.ordinal()].sum(),
                    adders[OutcomeKind.UNKNOWN.ordinal()].sum(),
                    adders[OutcomeKind.EJECTED.ordinal()].sum());
        }
    }
}
