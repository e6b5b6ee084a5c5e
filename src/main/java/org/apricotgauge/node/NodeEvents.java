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
 * The node's events: kept for the timeline and, except for frequent ones, logged.
 *
 * <p>Hops carry the readings of a hybrid logical clock, so that the timeline shows causes before
 * effects even if wall clocks differ.
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

    /** Returns the current clock reading as the text of a header. */
    String clockHeader() {
        return mClock.now().toString();
    }

    /** Returns how many readings were rejected as too far ahead of this node's clock. */
    long refusedReadings() {
        return mClock.refusedCount();
    }

    /** Returns the current clock reading, to be sent ahead of updates to another node. */
    HlcTimestamp now() {
        return mClock.now();
    }

    /** Advances the clock by a reading that was received ahead of updates. */
    void observe(HlcTimestamp reading) {
        mClock.observe(reading);
    }

    /** Advances the clock by the reading in the headers; a malformed one is ignored. */
    void observe(HttpFields headers) {
        String text = headers.get(HeaderNames.CLOCK);
        if (text == null) {
            return;
        }
        try {
            mClock.observe(HlcTimestamp.parse(text));
        } catch (IllegalArgumentException ignored) {
            // Of a release with another format; the timeline then orders by wall clock.
        }
    }
}
