package org.apricotgauge.operator.timeline;

/** How a time line is written. */
enum TimelineFormat {
    /** One line for each event, for people. */
    TEXT,
    /** One JSON object a line, for programs. */
    JSONL,
    /** One page with a drawing, which needs no other file. */
    HTML
}
