package org.apricotgauge.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.io.OutputStream;
import java.util.function.LongSupplier;
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

    static void configure(LogSettings settings, OutputStream stream) {
        Checks.notNull("settings", settings);
        System.setProperty(JBOSS_PROVIDER, "slf4j");
        sConfiguring = true;
        configure((LoggerContext) LoggerFactory.getILoggerFactory(), settings, stream);
    }

    /**
     * Writes the log to a stream from now on without ever waiting for it; {@link #end} writes the
     * last lines.
     */
    public static void configureWithoutBlocking(LogSettings settings, OutputStream stream) {
        Checks.notNull("settings", settings);
        System.setProperty(JBOSS_PROVIDER, "slf4j");
        sConfiguring = true;
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        DroppingAppender dropping = new DroppingAppender();
        dropping.setContext(context);
        dropping.addAppender(appender(context, settings, stream, dropping::takeDropped));
        dropping.start();
        write(context, settings, dropping);
    }

    /** Writes what waits to be written, for at most a moment, and ends the log. */
    public static void end() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    static void configure(LoggerContext context, LogSettings settings, OutputStream stream) {
        context.reset();
        write(context, settings, appender(context, settings, stream, () -> 0));
    }

    private static Appender<ILoggingEvent> appender(
            LoggerContext context,
            LogSettings settings,
            OutputStream stream,
            LongSupplier dropped) {
        Encoder<ILoggingEvent> encoder = encoder(settings.format(), context, dropped);
        OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.setOutputStream(new OpenStream(stream));
        appender.start();
        return appender;
    }

    private static void write(
            LoggerContext context, LogSettings settings, Appender<ILoggingEvent> appender) {
        Level level = Level.valueOf(settings.level().name());
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(level);
        root.addAppender(appender);
        boolean isLessThanWarn = level.isGreaterOrEqual(Level.WARN);
        context.getLogger(JETTY).setLevel(isLessThanWarn ? level : Level.WARN);
    }

    private static Encoder<ILoggingEvent> encoder(
            LogFormat format, LoggerContext context, LongSupplier dropped) {
        if (format == LogFormat.JSON) {
            JsonLineEncoder encoder = new JsonLineEncoder(dropped);
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
