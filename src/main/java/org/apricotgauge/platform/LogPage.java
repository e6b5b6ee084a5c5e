package org.apricotgauge.platform;

import java.util.List;

/**
 * One answer to a read of the log.
 *
 * @param head position of the newest entry that the platform showed; 0 for an empty log
 * @param entries entries in order without gaps, at most as many as asked for; may be empty
 */
public record LogPage(long head, List<LogRecord> entries) {

    /** Copies the list. */
    public LogPage {
        entries = entries == null ? List.of() : List.copyOf(entries);
    }
}
