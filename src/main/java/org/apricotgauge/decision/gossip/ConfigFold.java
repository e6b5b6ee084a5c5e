package org.apricotgauge.decision.gossip;

import java.util.List;
import org.apricotgauge.platform.LogRecord;

/**
 * Folds the records of the published log into a configuration history.
 *
 * <p>Histories are immutable. Two nodes that fold the same records have the same digest at each
 * position.
 *
 * @param <H> a folded history
 */
public interface ConfigFold<H> {

    /** Returns the history before the first record. */
    H empty();

    /** Returns the log position of the last folded record; 0 for the empty history. */
    long position(H history);

    /** Returns the number of accepted patches, which never decreases along a log. */
    long version(H history);

    /** Returns the digest chained over the whole history. */
    String digest(H history);

    /**
     * Folds one record.
     *
     * @param record the record at {@code position(history) + 1}; a record that is rejected as a
     *     patch still advances the position
     * @return the next history, or null if this release cannot read the record since it needs the
     *     rules of a later release; the node then stays at its position
     */
    H apply(H history, LogRecord record);

    /** Encodes a history as chunks, each smaller than 1 MB. */
    List<byte[]> encode(H history);

    /**
     * Decodes the chunks written by {@link #encode}.
     *
     * @throws RuntimeException if the chunks can't be decoded
     */
    H decode(List<byte[]> chunks);
}
