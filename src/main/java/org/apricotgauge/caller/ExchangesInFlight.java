package org.apricotgauge.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The exchanges of an entry that have no final answer yet. Thread-safe. */
final class ExchangesInFlight {
    private final Set<CallerExchange> mExchanges = ConcurrentHashMap.newKeySet();
    private volatile boolean mEnded;

    void add(CallerExchange exchange) {
        mExchanges.add(exchange);
        if (mEnded) {
            exchange.endAsLeaving();
        }
    }

    /** Removes an exchange that has ended, and drops what is kept of its body. */
    void remove(CallerExchange exchange) {
        mExchanges.remove(exchange);
        exchange.body().release();
    }

    /** Returns whether all exchanges have been ended. */
    boolean hasEnded() {
        return mEnded;
    }

    /** Ends all exchanges now, and later ones at once. */
    void endAll() {
        mEnded = true;
        mExchanges.forEach(CallerExchange::endAsLeaving);
    }
}
