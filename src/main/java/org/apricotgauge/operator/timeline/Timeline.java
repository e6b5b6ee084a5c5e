package org.apricotgauge.operator.timeline;

import java.util.List;

/**
 * A piece of the time line, ready to be written.
 *
 * @param events in causally consistent order
 * @param gaps what is missing from it, and why
 */
record Timeline(List<TimelineEvent> events, List<TimelineGap> gaps) {

    Timeline {
        events = List.copyOf(events);
        gaps = List.copyOf(gaps);
    }
}
