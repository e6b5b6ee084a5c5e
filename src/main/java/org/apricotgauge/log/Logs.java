package org.apricotgauge.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.io.OutputStream;
import org.apricotgauge.model.Checks;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sets up the log of the process.
 *
 * <pre>{@code
 * Logs.configure(settings.log());
 * private static final Logger LOGGER = Logger.getLogger(NodeMain.class);   // JBoss Logging
 * }</pre>
 *
 * <p>Called once, first in {@code main}. Loggers of JBoss Logging write through SLF4J to Logback,
 * as Jetty's do, which are shown from WARN on.
 */
public final class Logs {
    private static final String JBOSS_PROVIDER = "org.jboss.logging.provider";
    private static final String JETTY = "org.eclipse.jetty";
    private static final String TEXT_PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z',UTC} %-5level %logger{24} %msg"
                    + "%replace( %X{change}){'^ $',''}%n";

    private static volatile boolean sConfiguring;

    private Logs() {}

    /** Returns whether the log is about to be set up, so that its default is not needed. */
    static boolean isConfiguring() {
        return sConfiguring;
    }

    /** Writes the log to standard error from now on. */
    public static void configure(LogSettings settings) {
        configure(settings, System.err);
    }

    /** Writes the log to a stream from now on; a node writes to standard output. */
    public static void configure(LogSettings settings, OutputStream stream) {
        Checks.notNull("settings", settings);
        System.setProperty(JBOSS_PROVIDER, "slf4j");
        sConfiguring = true;
        configure((LoggerContext) LoggerFactory.getILoggerFactory(), settings, stream);
    }

    static void configure(LoggerContext context, LogSettings settings, OutputStream stream) {
        context.reset();
        Encoder<ILoggingEvent> encoder = encoder(settings.format(), context);
        OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.setOutputStream(new OpenStream(stream));
        appender.start();
        Level level = Level.valueOf(settings.level().name());
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(level);
        root.addAppender(appender);
        boolean isLessThanWarn = level.isGreaterOrEqual(Level.WARN);
        context.getLogger(JETTY).setLevel(isLessThanWarn ? level : Level.WARN);
    }

    private static Encoder<ILoggingEvent> encoder(LogFormat format, LoggerContext context) {
        if (format == LogFormat.JSON) {
            JsonLineEncoder encoder = new JsonLineEncoder();
            encoder.setContext(context);
            encoder.start();
            return encoder;
        }
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(TEXT_PATTERN);
        encoder.start();
        return encoder;
    }
}
