package org.apricotgauge.operator.timeline;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apricotgauge.event.Cause;
import org.apricotgauge.event.Event;
import org.apricotgauge.event.EventCodec;
import org.apricotgauge.event.EventId;

/**
 * Picks the events about a service, target or request, with what led to them and what they led to.
 *
 * @param service only about this service
 * @param target only about this target
 * @param request only about this request
 * @param types only of these types; empty for all
 */
record TimelineFilter(
        Optional<String> service,
        Optional<String> target,
        Optional<String> request,
        List<String> types) {

    TimelineFilter {
        types = List.copyOf(types);
    }

    /** Returns the ids of the events to show. */
    Set<EventId> pick(Collection<Event> events) {
        Map<EventId, Event> byId = new HashMap<>();
        events.forEach(event -> byId.put(event.id(), event));
        Set<EventId> picked = new HashSet<>();
        // Causes precede their effects in an ordered list, so that one pass finds all effects.
        for (Event event : TimelineMerge.order(events)) {
            boolean isEffect =
                    event.cause() instanceof Cause.ByEvent cause && picked.contains(cause.id());
            if (isEffect || isAbout(event)) {
                picked.add(event.id());
            }
        }
        Set<EventId> withCauses = new HashSet<>(picked);
        picked.forEach(id -> addCauses(byId, id, withCauses));
        return withCauses;
    }

    private static void addCauses(Map<EventId, Event> byId, EventId id, Set<EventId> found) {
        Event event = byId.get(id);
        while (event != null && event.cause() instanceof Cause.ByEvent cause) {
            event = byId.get(cause.id());
            if (event == null || !found.add(event.id())) {
                return;
            }
        }
    }

    private boolean isAbout(Event event) {
        Optional<String> about = event.body().aboutRequest();
        if (event.cause() instanceof Cause.ByRequest cause) {
            about = Optional.of(cause.requestId());
        }
        boolean isOfType = types.isEmpty() || types.contains(EventCodec.typeOf(event.body()));
        return isOfType
                && matches(service, event.body().aboutService())
                && matches(target, event.body().aboutTarget())
                && matches(request, about);
    }

    private static boolean matches(Optional<String> wanted, Optional<String> about) {
        return wanted.isEmpty() || wanted.equals(about);
    }
}
