package org.apricotgauge.operator.timeline;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.apricotgauge.event.Cause;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventId;

/**
 * Puts the events of many nodes into one order in which no effect precedes its cause.
 *
 * <pre>{@code
 * List<Event> ordered = TimelineMerge.order(events);
 * }</pre>
 *
 * <p>The order is by hybrid logical clock, held to two constraints that need no clock: the sequence
 * numbers of one run of a node, and the causes that events name. They decide where a node's clock
 * was beyond the bound on drift and its readings were left out by others. The order depends on the
 * events alone, not on how they were fetched. Pure.
 */
final class TimelineMerge {
    static final Comparator<Event> BY_CLOCK =
            Comparator.comparing(Event::hlc).thenComparing(Event::id);

    private final Map<EventId, Event> mEvents = new TreeMap<>();
    private final Map<EventId, List<Event>> mEffects = new HashMap<>();
    private final Map<EventId, Integer> mCausesLeft = new HashMap<>();

    private TimelineMerge(Collection<Event> events) {
        events.forEach(event -> mEvents.put(event.id(), event));
    }

    /** Returns the events in order, each once. */
    static List<Event> order(Collection<Event> events) {
        TimelineMerge merge = new TimelineMerge(events);
        merge.connect();
        return merge.sort();
    }

    private void connect() {
        Event previous = null;
        for (Event event : mEvents.values()) {
            mCausesLeft.putIfAbsent(event.id(), 0);
            if (previous != null && isSameRun(previous.id(), event.id())) {
                addEdge(previous.id(), event);
            }
            if (event.cause() instanceof Cause.ByEvent cause && mEvents.containsKey(cause.id())) {
                addEdge(cause.id(), event);
            }
            previous = event;
        }
    }

    private void addEdge(EventId cause, Event effect) {
        mEffects.computeIfAbsent(cause, id -> new ArrayList<>()).add(effect);
        mCausesLeft.merge(effect.id(), 1, Integer::sum);
    }

    /** Sorts topologically (Kahn), taking the smallest clock reading of those that are free. */
    private List<Event> sort() {
        PriorityQueue<Event> free = new PriorityQueue<>(BY_CLOCK);
        mEvents.values().stream()
                .filter(event -> mCausesLeft.get(event.id()) == 0)
                .forEach(free::add);
        List<Event> ordered = new ArrayList<>(mEvents.size());
        while (!free.isEmpty()) {
            Event next = free.remove();
            ordered.add(next);
            for (Event effect : mEffects.getOrDefault(next.id(), List.of())) {
                if (mCausesLeft.merge(effect.id(), -1, Integer::sum) == 0) {
                    free.add(effect);
                }
            }
        }
        return ordered.size() == mEvents.size() ? ordered : withCycle(ordered);
    }

    /** Only a faulty node names a cause that its own effect led to; its events are still shown. */
    private List<Event> withCycle(List<Event> ordered) {
        Map<EventId, Event> left = new TreeMap<>(mEvents);
        ordered.forEach(event -> left.remove(event.id()));
        List<Event> all = new ArrayList<>(ordered);
        left.values().stream().sorted(BY_CLOCK).forEach(all::add);
        return all;
    }

    private static boolean isSameRun(EventId first, EventId second) {
        return first.node().equals(second.node()) && first.incarnation() == second.incarnation();
    }
}
