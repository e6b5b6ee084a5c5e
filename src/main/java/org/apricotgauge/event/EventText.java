package org.apricotgauge.event;

import org.apricotgauge.model.Checks;

/** Free text in events, bounded so that the ring's memory is. */
final class EventText {
    static final int MAX_LENGTH = 512;

    private EventText() {}

    static String bounded(String field, String text) {
        Checks.notBlank(field, text);
        return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH);
    }
}
