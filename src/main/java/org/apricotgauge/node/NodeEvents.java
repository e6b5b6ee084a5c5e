package org.apricotgauge.node;

import java.time.InstantSource;
import org.apricotgauge.event.Cause;
import org.apricotgauge.event.EventBody;
import org.apricotgauge.event.EventId;
import org.apricotgauge.event.EventPage;
import org.apricotgauge.event.EventRecorder;
import org.apricotgauge.event.EventRing;
import org.apricotgauge.event.FenceUsed;
import org.apricotgauge.event.HlcTimestamp;
import org.apricotgauge.event.HybridClock;
import org.apricotgauge.http.HeaderNames;
import org.apricotgauge.log.StateLog;
import org.eclipse.jetty.http.HttpFields;
import org.jboss.logging.Logger;

/**
 * The node's events: kept for the time line and, but for frequent ones, logged.
 *
 * <p>The clock travels on the hops' messages, so that the time line shows causes before effects
 * whatever the wall clocks say.
 */
final class NodeEvents implements EventRecorder {
    private static final int CAPACITY = 4_096;

    private final HybridClock mClock = new HybridClock(InstantSource.system());
    private final StateLog mLog = new StateLog(Logger.getLogger("org.apricotgauge.events"));
    private final EventRing mRing;

    NodeEvents(String vm, long incarnation) {
        mRing = new EventRing(vm, incarnation, CAPACITY, mClock);
    }

    @Override
    public EventId record(EventBody body, Cause cause) {
        EventId id = mRing.record(body, cause);
        if (!(body instanceof FenceUsed) && body instanceof Record change) {
            mLog.info(body.getClass().getSimpleName(), change);
        }
        return id;
    }

    EventPage read(long since, int limit) {
        return mRing.read(since, limit);
    }

    /** Returns a reading to send with a message. */
    String clockHeader() {
        return mClock.now().toString();
    }

    /** Returns how many readings were left out, as they lay too far ahead of this node's clock. */
    long refusedReadings() {
        return mClock.refusedCount();
    }

    /** Returns a reading to send ahead of news to another node. */
    HlcTimestamp now() {
        return mClock.now();
    }

    /** Takes in a reading that came ahead of news. */
    void observe(HlcTimestamp reading) {
        mClock.observe(reading);
    }

    /** Takes in the reading that came with a message; a malformed one is left out. */
    void observe(HttpFields headers) {
        String text = headers.get(HeaderNames.CLOCK);
        if (text == null) {
            return;
        }
        try {
            mClock.observe(HlcTimestamp.parse(text));
        } catch (IllegalArgumentException ignored) {
            // A release that writes another form; the time line then orders by wall time.
        }
    }
}
