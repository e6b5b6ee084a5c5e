package org.apricotgauge.platform;

import org.apricotgauge.model.Checks;

/**
 * One entry of the published log, its body not yet read.
 *
 * @param position place in the log; the first entry stands at 1
 * @param body the patch as published
 */
public record LogRecord(long position, String body) {

    /** Checks the parts. */
    public LogRecord {
        Checks.inRange("position", position, 1, Long.MAX_VALUE);
        Checks.notNull("body", body);
    }
}
