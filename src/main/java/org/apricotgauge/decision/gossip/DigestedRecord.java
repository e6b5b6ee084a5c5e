package org.apricotgauge.decision.gossip;

import org.apricotgauge.model.Checks;
import org.apricotgauge.platform.LogRecord;

/**
 * A log record together with the digest of the sender's history after it.
 *
 * @param record the record
 * @param digest the chained digest after the record
 */
public record DigestedRecord(LogRecord record, String digest) {

    /** Validates the components. */
    public DigestedRecord {
        Checks.notNull("record", record);
        Checks.notNull("digest", digest);
    }
}
