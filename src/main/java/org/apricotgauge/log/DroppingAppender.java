package org.apricotgauge.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hands lines to a thread that writes them, and drops them while that thread is held up.
 *
 * <p>Whoever reads a node's standard output may stop reading. A write then blocks once the pipe is
 * full, and with it every request that logs; here the next line that is written tells how many were
 * lost instead.
 */
final class DroppingAppender extends AsyncAppender {
    /** Lines that may wait: about 13 s of a node's bound of 40 lines a second, some 300 KB. */
    private static final int MAX_WAITING = 512;

    /** Lines are dropped only once no place is left. */
    private static final int NO_PLACE_LEFT = 1;

    /** Longest wait for the last lines when the process ends, in milliseconds. */
    private static final int FLUSH_MILLIS = 300;

    private final AtomicLong mDropped = new AtomicLong();

    DroppingAppender() {
        setQueueSize(MAX_WAITING);
        setDiscardingThreshold(NO_PLACE_LEFT);
        setNeverBlock(true);
        setMaxFlushTime(FLUSH_MILLIS);
    }

    /** Returns how many lines were dropped since the last time this was asked. */
    long takeDropped() {
        return mDropped.getAndSet(0);
    }

    /** Asked only about lines for which no place is left. */
    @Override
    protected boolean isDiscardable(ILoggingEvent event) {
        mDropped.incrementAndGet();
        return true;
    }
}
