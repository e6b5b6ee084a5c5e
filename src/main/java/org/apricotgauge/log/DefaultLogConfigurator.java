package org.apricotgauge.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * The log of a process that has not called {@link Logs#configure} yet, or never does, as tests and
 * measurements: warnings as text on standard error.
 *
 * <p>Logback finds it as a service. Its own default would write every line of Jetty's DEBUG level
 * to standard output, amid what a program prints.
 */
public final class DefaultLogConfigurator extends ContextAwareBase implements Configurator {

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (Logs.isConfiguring()) {
            // Compiling the text pattern takes 0.1 s of a start, only to be replaced at once.
            return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
        }
        Logs.configure(context, new LogSettings(LogFormat.TEXT, LogLevel.WARN), System.err);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
