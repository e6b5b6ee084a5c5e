package org.apricotgauge.cli;

/**
 * What became of a command line: settings to run with, or a reason to exit.
 *
 * @param <S> the program's record of settings
 */
public sealed interface CommandOutcome<S> {

    /**
     * The settings are sound.
     *
     * @param settings what the program runs with
     */
    record Ready<S>(S settings) implements CommandOutcome<S> {}

    /**
     * The program exits at once: help, version, or faults.
     *
     * @param exitCode how it exits
     * @param output text for standard output, lines ended by a line feed
     * @param errors text for standard error, one line for each fault
     */
    record Finished<S>(ExitCode exitCode, String output, String errors)
            implements CommandOutcome<S> {}
}
