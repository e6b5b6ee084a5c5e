package org.apricotgauge.event;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.apricotgauge.model.Checks;

/**
 * The last events of a node, in bounded memory.
 *
 * <pre>{@code
 * EventRing ring = new EventRing("vm-1", startMillis, 4096, clock);
 * ring.record(new VmLeaving("vm-2", "peer"));
 * EventPage page = ring.read(0, 100);
 * }</pre>
 *
 * <p>Frequent events have a quarter of the room to themselves: a partition brings hundreds of
 * fences a second, which would else push out the ejections that explain them.
 *
 * <p>Safe to share. Writers exclude each other, so that sequence numbers and clock readings run the
 * same way. A reader takes the lock only to note where the ring stands, and copies events without
 * it.
 */
public final class EventRing implements EventRecorder {
    private static final int MAX_CAPACITY = 1 << 20;
    private static final int FREQUENT_SHARE = 4;

    private final String mNode;
    private final long mIncarnation;
    private final HybridClock mClock;
    private final Lane mRare;
    private final Lane mFrequent;
    private final Object mLock = new Object();
    private long mLastSequence;

    /**
     * Creates an empty ring.
     *
     * @param node id of the VM
     * @param incarnation tells this run of the node from others, such as its start time in
     *     milliseconds
     * @param capacity events held
     * @param clock the node's clock
     */
    public EventRing(String node, long incarnation, int capacity, HybridClock clock) {
        mNode = Checks.id("node", node);
        mIncarnation = Checks.inRange("incarnation", incarnation, 0, Long.MAX_VALUE);
        Checks.inRange("capacity", capacity, 2, MAX_CAPACITY);
        int frequent = Math.max(1, capacity / FREQUENT_SHARE);
        mRare = new Lane(capacity - frequent);
        mFrequent = new Lane(frequent);
        mClock = Checks.notNull("clock", clock);
    }

    @Override
    public EventId record(EventBody body, Cause cause) {
        Checks.notNull("body", body);
        Checks.notNull("cause", cause);
        Lane lane = body.comesWithRequests() ? mFrequent : mRare;
        synchronized (mLock) {
            EventId id = new EventId(mNode, mIncarnation, ++mLastSequence);
            lane.add(new Event(id, mClock.now(), mClock.wallMillis(), cause, body));
            return id;
        }
    }

    /**
     * Returns events after a number.
     *
     * @param since number of the last event that the reader has; 0 for none
     * @param limit most events to return
     */
    public EventPage read(long since, int limit) {
        Checks.inRange("since", since, 0, Long.MAX_VALUE);
        Checks.inRange("limit", limit, 1, MAX_CAPACITY);
        HlcTimestamp readAt;
        long last;
        synchronized (mLock) {
            // Together, or an event with a smaller reading could be published after the page.
            readAt = mClock.now();
            last = mLastSequence;
        }
        List<Event> found = new ArrayList<>();
        mRare.copy(since, last, found);
        mFrequent.copy(since, last, found);
        found.sort(Comparator.comparing(Event::id));
        boolean isCut = found.size() > limit;
        List<Event> events = isCut ? found.subList(0, limit) : found;
        long nextSince = isCut ? events.get(limit - 1).id().sequence() : Math.max(since, last);
        long lost = nextSince - since - events.size();
        return new EventPage(mNode, mIncarnation, readAt, lost, nextSince, last, events);
    }

    /** A bounded row of events; written by one thread at a time, read by any. */
    private static final class Lane {
        private final AtomicReferenceArray<Event> mSlots;
        private int mNextSlot;

        Lane(int capacity) {
            mSlots = new AtomicReferenceArray<>(capacity);
        }

        void add(Event event) {
            mSlots.set(mNextSlot, event);
            mNextSlot = (mNextSlot + 1) % mSlots.length();
        }

        /** Copies what lies after a number and up to another. */
        void copy(long since, long last, List<Event> out) {
            for (int i = 0; i < mSlots.length(); i++) {
                Event event = mSlots.get(i);
                if (event == null) {
                    return;
                }
                long sequence = event.id().sequence();
                if (sequence > since && sequence <= last) {
                    out.add(event);
                }
            }
        }
    }
}
