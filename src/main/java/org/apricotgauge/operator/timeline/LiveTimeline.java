package org.apricotgauge.operator.timeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventId;
import org.apricotgauge.event.HlcTimestamp;

/**
 * Releases events in causal order while they come in; confined to one thread, no I/O.
 *
 * <p>A cause may be fetched a round after its effect, since nodes are not asked at one instant. An
 * event is therefore held until every node that answered has read its clock beyond it: what such a
 * node records later has a greater reading. A node whose clock lies far behind and that hears from
 * no other would hold all others up, so none is held for longer than a bound; what then comes too
 * late is marked so.
 */
final class LiveTimeline {
    private static final int MAX_HISTORY = 20_000;

    private final long mSettleMillis;
    private final TimelineFilter mFilter;
    private final Map<Event, Long> mHeldSinceMillis = new HashMap<>();
    private final Deque<Event> mHistory = new ArrayDeque<>();
    private Optional<Event> mLatest = Optional.empty();

    LiveTimeline(long settleMillis, TimelineFilter filter) {
        mSettleMillis = settleMillis;
        mFilter = filter;
    }

    /** Takes in a round, and returns the events that may be shown now. */
    List<TimelineEvent> add(TimelineReader.Round round, long nowMillis) {
        round.events().forEach(event -> mHeldSinceMillis.putIfAbsent(event, nowMillis));
        List<Event> ordered = TimelineMerge.order(mHeldSinceMillis.keySet());
        int released = 0;
        for (int i = 0; i < ordered.size(); i++) {
            if (isReleased(ordered.get(i), round.settled(), nowMillis)) {
                released = i + 1;
            }
        }
        return show(ordered.subList(0, released));
    }

    /** Returns the events still held, when no further round will follow. */
    List<TimelineEvent> end() {
        return show(TimelineMerge.order(mHeldSinceMillis.keySet()));
    }

    private boolean isReleased(Event event, Optional<HlcTimestamp> settled, long nowMillis) {
        boolean isSettled = settled.isPresent() && event.hlc().compareTo(settled.get()) <= 0;
        return isSettled || nowMillis - mHeldSinceMillis.get(event) >= mSettleMillis;
    }

    private List<TimelineEvent> show(List<Event> ordered) {
        ordered.forEach(mHeldSinceMillis::remove);
        mHistory.addAll(ordered);
        while (mHistory.size() > MAX_HISTORY) {
            mHistory.removeFirst();
        }
        Set<EventId> picked = ordered.isEmpty() ? new HashSet<>() : mFilter.pick(mHistory);
        List<TimelineEvent> shown = new ArrayList<>();
        for (Event event : ordered) {
            boolean isLate =
                    mLatest.isPresent() && TimelineMerge.BY_CLOCK.compare(event, mLatest.get()) < 0;
            if (picked.contains(event.id())) {
                shown.add(new TimelineEvent(event, isLate));
            }
        }
        for (Event event : ordered) {
            if (mLatest.isEmpty() || TimelineMerge.BY_CLOCK.compare(event, mLatest.get()) > 0) {
                mLatest = Optional.of(event);
            }
        }
        return shown;
    }
}
