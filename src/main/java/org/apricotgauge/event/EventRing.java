package org.apricotgauge.event;

import java.util.ArrayList;
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
 * <p>Safe to share. Writers exclude each other, so that sequence numbers and clock readings run the
 * same way; events are changes of state, hence rare. A reader takes the lock only to note where the
 * ring stands, and copies events without it.
 */
public final class EventRing implements EventRecorder {
    private static final int MAX_CAPACITY = 1 << 20;

    private final String mNode;
    private final long mIncarnation;
    private final HybridClock mClock;
    private final AtomicReferenceArray<Event> mSlots;
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
        mSlots =
                new AtomicReferenceArray<>(
                        (int) Checks.inRange("capacity", capacity, 1, MAX_CAPACITY));
        mClock = Checks.notNull("clock", clock);
    }

    @Override
    public EventId record(EventBody body, Cause cause) {
        Checks.notNull("body", body);
        Checks.notNull("cause", cause);
        synchronized (mSlots) {
            long sequence = mLastSequence + 1;
            EventId id = new EventId(mNode, mIncarnation, sequence);
            mSlots.set(
                    slot(sequence), new Event(id, mClock.now(), mClock.wallMillis(), cause, body));
            mLastSequence = sequence;
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
        synchronized (mSlots) {
            // Together, or an event with a smaller reading could be published after the page.
            readAt = mClock.now();
            last = mLastSequence;
        }
        long first = Math.max(since, last - mSlots.length()) + 1;
        long lost = first - since - 1;
        List<Event> events = new ArrayList<>();
        long sequence = first;
        for (; sequence <= last && events.size() < limit; sequence++) {
            Event event = mSlots.get(slot(sequence));
            if (event.id().sequence() == sequence) {
                events.add(event);
            } else {
                lost++; // a writer went round the ring meanwhile
            }
        }
        return new EventPage(
                mNode, mIncarnation, readAt, lost, Math.max(since, sequence - 1), last, events);
    }

    private int slot(long sequence) {
        return (int) (sequence % mSlots.length());
    }
}
