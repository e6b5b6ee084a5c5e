package org.apricotgauge.operator.watch;

/** How the view is written. */
enum WatchFormat {
    /** Lines for people. */
    TEXT,
    /** One JSON object a line, for programs. */
    JSON
}
