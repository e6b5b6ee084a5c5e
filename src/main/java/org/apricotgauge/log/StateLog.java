package org.apricotgauge.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.apricotgauge.model.Checks;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Logs changes of state as typed records, whose components become fields of the line.
 *
 * <pre>{@code
 * record VersionInForce(long version, String digest) {}
 *
 * StateLog log = new StateLog(Logger.getLogger(Configurator.class));
 * log.info("version in force", new VersionInForce(7, "ab12"));
 * // {"time":"...","level":"INFO","logger":"...","message":"version in force",
 * //  "change":{"version":7,"digest":"ab12"}}
 * }</pre>
 *
 * <p>A record that Jackson can't write is logged by its {@code toString}. Safe to share.
 */
public final class StateLog {
    static final String FIELD = "change";
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private final Logger mLogger;

    /** Creates a log of state changes that writes to the given logger. */
    public StateLog(Logger logger) {
        mLogger = Checks.notNull("logger", logger);
    }

    /** Logs an expected change. */
    public void info(String message, Record change) {
        log(Logger.Level.INFO, message, change);
    }

    /** Logs a change that may need an operator. */
    public void warn(String message, Record change) {
        log(Logger.Level.WARN, message, change);
    }

    private void log(Logger.Level level, String message, Record change) {
        if (!mLogger.isEnabled(level)) {
            return;
        }
        MDC.put(FIELD, json(change));
        try {
            mLogger.log(level, message);
        } finally {
            MDC.remove(FIELD);
        }
    }

    private static String json(Record change) {
        try {
            return MAPPER.writeValueAsString(change);
        } catch (JsonProcessingException e) {
            return MAPPER.getNodeFactory().textNode(change.toString()).toString();
        }
    }
}
