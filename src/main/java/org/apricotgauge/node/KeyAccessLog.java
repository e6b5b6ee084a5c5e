package org.apricotgauge.node;

import org.apricotgauge.log.StateLog;
import org.apricotgauge.model.Configuration;
import org.jboss.logging.Logger;

/**
 * Logs when a configuration changes whether requests need API keys, and when no key is left.
 *
 * <pre>{@code
 * log.configurationChanged(version, before, after);
 * }</pre>
 */
final class KeyAccessLog {
    private final StateLog mLog = new StateLog(Logger.getLogger(KeyAccessLog.class));

    /**
     * A change of the keys.
     *
     * @param version version of the configuration that made it
     * @param keysBefore number of keys before
     * @param keys number of keys from now on
     */
    private record KeyChange(long version, int keysBefore, int keys) {}

    /** Logs a change, if there is one; an empty configuration had no keys. */
    void configurationChanged(long version, Configuration before, Configuration after) {
        KeyChange change = new KeyChange(version, before.keyCount(), after.keyCount());
        if (before.authenticatesByKey() && !after.authenticatesByKey()) {
            mLog.warn("requests need no API key any more", change);
        } else if (!before.authenticatesByKey() && after.authenticatesByKey()) {
            mLog.info("requests need API keys", change);
        }
        if (!hasNoKeyLeft(before) && hasNoKeyLeft(after)) {
            mLog.warn("no API key is left", change);
        } else if (hasNoKeyLeft(before) && after.keyCount() > 0) {
            mLog.info("API keys are there again", change);
        }
    }

    private static boolean hasNoKeyLeft(Configuration configuration) {
        return configuration.authenticatesByKey() && configuration.keyCount() == 0;
    }
}
