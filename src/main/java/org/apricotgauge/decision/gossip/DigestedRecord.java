package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;
import org.apricotgauge.platform.LogRecord;

/**
 * A log record with the digest that its sender's history has after it.
 *
 * @param record the record
 * @param digest the chained digest after the record
 */
public record DigestedRecord(LogRecord record, String digest) {

    /** Checks the parts. */
    public DigestedRecord {
        Checks.notNull("record", record);
        Checks.notNull("digest", digest);
    }
}
