package org.apricotgauge.operator.review;

import java.io.IOException;
import org.apricotgauge.config.ConfigHistory;

/**
 * Where the published history comes from.
 *
 * <pre>{@code
 * HistorySource source = () -> ConfigHistory.EMPTY;
 * }</pre>
 */
@FunctionalInterface
interface HistorySource {

    /**
     * Reads the whole history.
     *
     * @throws IOException if it cannot be read, or is not one list without gaps
     */
    ConfigHistory read() throws IOException;
}
