package org.apricotgauge.decision.gossip;

import java.util.List;
import org.apricotgauge.platform.LogRecord;

/**
 * How the published log turns into a configuration: the seam to the fold.
 *
 * <p>Histories are immutable. Two nodes that fold the same records get the same digest at each
 * position.
 *
 * @param <H> a folded history
 */
public interface ConfigFold<H> {

    /** Returns the history before the first record. */
    H empty();

    /** Returns the log position of the last folded record; 0 for the empty history. */
    long position(H history);

    /** Returns the number of accepted patches, which never falls along a log. */
    long version(H history);

    /** Returns the digest that is chained over the whole history. */
    String digest(H history);

    /**
     * Folds one record.
     *
     * @param record the record at {@code position(history) + 1}; a record that is refused as a
     *     patch still moves the position on
     * @return the next history, or null if this release cannot read the record (a later release's
     *     rules); the node then stays where it is
     */
    H apply(H history, LogRecord record);

    /** Writes a history as chunks, each under 1 MB. */
    List<byte[]> encode(H history);

    /**
     * Reads what {@link #encode} wrote.
     *
     * @throws RuntimeException if the chunks are not readable
     */
    H decode(List<byte[]> chunks);
}
