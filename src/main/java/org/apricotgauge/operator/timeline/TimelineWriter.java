package org.apricotgauge.operator.timeline;

/** Turns a piece of the time line into the text to print. */
@FunctionalInterface
interface TimelineWriter {

    /** Returns the whole text, lines ended by a line feed. */
    String write(Timeline timeline);

    /** Returns the writer of a format. */
    static TimelineWriter of(TimelineFormat format) {
        return switch (format) {
            case TEXT -> TimelineLines::text;
            case JSONL -> TimelineLines::json;
            case HTML -> TimelinePage::write;
        };
    }
}
