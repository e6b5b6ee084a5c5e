package org.apricotgauge.operator.timeline;

import org.apricotgauge.event.Event;

/**
 * An event in its place.
 *
 * @param event the event
 * @param isLate whether an event that comes after it in order was written before it, since its node
 *     answered too late
 */
record TimelineEvent(Event event, boolean isLate) {}
