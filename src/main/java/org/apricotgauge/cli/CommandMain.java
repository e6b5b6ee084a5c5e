package org.apricotgauge.cli;

import java.io.IOException;

/**
 * The body of a program, called with checked settings.
 *
 * @param <S> the program's record of settings
 */
@FunctionalInterface
public interface CommandMain<S> {

    /**
     * Runs until the program's work is done; the process exits as soon as it returns.
     *
     * @throws IOException if the program cannot start, as when a port is in use
     * @throws InterruptedException if the thread was told to stop waiting
     */
    ExitCode run(S settings) throws IOException, InterruptedException;
}
