package org.apricotgauge.log;

import java.util.function.LongFunction;
import org.apricotgauge.decision.TokenBucket;
import org.apricotgauge.model.Checks;
import org.apricotgauge.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Logs typed records for requests, so many a second at most.
 *
 * <pre>{@code
 * record Line(String id, long leftOut) {}
 *
 * BoundedLog log = new BoundedLog(Logger.getLogger("requests"), ticker, 40);
 * log.info("request ended", leftOut -> new Line(id, leftOut));
 * }</pre>
 *
 * <p>Lines beyond the bound are left out and counted, and the next line tells how many they were:
 * logging costs the same under any load. Thread-safe.
 */
public final class BoundedLog {
    private final StateLog mLog;
    private final Ticker mTicker;
    private final TokenBucket mLines;
    private long mLeftOut;

    /** Creates a log that writes at most so many lines a second to the logger. */
    public BoundedLog(Logger logger, Ticker ticker, int linesPerSecond) {
        Checks.inRange("linesPerSecond", linesPerSecond, 1, Integer.MAX_VALUE);
        mLog = new StateLog(logger);
        mTicker = Checks.notNull("ticker", ticker);
        mLines = new TokenBucket(linesPerSecond, linesPerSecond, ticker.millis());
    }

    /** Logs the record made of the number of lines left out before it, if there is room for it. */
    public void info(String message, LongFunction<Record> line) {
        long leftOut;
        synchronized (mLines) {
            if (!mLines.tryConsume(1, mTicker.millis())) {
                mLeftOut++;
                return;
            }
            leftOut = mLeftOut;
            mLeftOut = 0;
        }
        mLog.info(message, line.apply(leftOut));
    }
}
