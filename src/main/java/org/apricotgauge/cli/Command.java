package org.apricotgauge.cli;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.apricotgauge.model.Checks;

/**
 * A program with its declared settings.
 *
 * <pre>{@code
 * static final Command<NodeSettings> COMMAND =
 *         new Command<>("apricotgauge-node", "Serves ...", List.of(VM, HOST), NodeSettings::of);
 *
 * public static void main(String[] args) {
 *     COMMAND.runAndExit(args, NodeMain::run);
 * }
 * }</pre>
 *
 * <p>Every setting is a flag and an environment variable, the flag going before the variable. All
 * are checked as a whole: one line for each fault on standard error, and exit code 2. Where a flag
 * is unknown, settings that are missing are not told of too, since a misspelt flag would be told of
 * twice. Variables that no setting declares are ignored, since programs share an environment.
 *
 * <p>Immutable and safe to share.
 *
 * @param <S> the program's record of settings
 */
public final class Command<S> {
    private final String mName;
    private final String mSummary;
    private final List<Setting<?>> mSettings;
    private final Function<SettingValues, S> mReader;
    private final CommandCheck mCheck;

    /** Creates a command whose settings need no check beyond those of each. */
    public Command(
            String name,
            String summary,
            List<Setting<?>> settings,
            Function<SettingValues, S> reader) {
        this(name, summary, settings, reader, values -> List.of());
    }

    /**
     * Creates a command.
     *
     * @param name name of the program, as in {@code bin/}
     * @param summary one sentence for {@code --help}
     * @param settings all that it declares
     * @param reader makes the program's record of settings from the values
     * @param check looks at several settings at once
     * @throws IllegalArgumentException if two settings have the same name
     */
    public Command(
            String name,
            String summary,
            List<Setting<?>> settings,
            Function<SettingValues, S> reader,
            CommandCheck check) {
        mName = Checks.notBlank("name", name);
        mSummary = Checks.notBlank("summary", summary);
        mSettings = List.copyOf(settings);
        mReader = Checks.notNull("reader", reader);
        mCheck = Checks.notNull("check", check);
        Set<String> names = new HashSet<>();
        for (Setting<?> setting : mSettings) {
            if (!names.add(setting.name())) {
                throw new IllegalArgumentException(setting + " is declared twice");
            }
        }
    }

    /** Returns the name of the program. */
    public String name() {
        return mName;
    }

    /** Returns the sentence that {@code --help} shows. */
    public String summary() {
        return mSummary;
    }

    /**
     * Reads a command line; does no I/O.
     *
     * @param args the arguments after the program's name
     * @param environment the environment variables
     */
    public CommandOutcome<S> parse(List<String> args, Map<String, String> environment) {
        FlagReader.Flags flags = FlagReader.read(mSettings, args);
        if (flags.isHelp()) {
            return new CommandOutcome.Finished<>(
                    ExitCode.OK, CommandHelp.text(mName, mSummary, mSettings), "");
        }
        if (flags.isVersion()) {
            return new CommandOutcome.Finished<>(
                    ExitCode.OK, mName + ' ' + ProductVersion.text() + '\n', "");
        }
        SettingReader reader = new SettingReader(flags, environment);
        SettingReader.Result result = reader.read(mSettings);
        if (!result.faults().isEmpty()) {
            return usage(result.faults());
        }
        List<SettingFault> faults = mCheck.faults(result.values());
        if (!faults.isEmpty()) {
            return usage(faults);
        }
        return new CommandOutcome.Ready<>(mReader.apply(result.values()));
    }

    /** Reads the command line, runs the program if its settings are sound, and exits. */
    public void runAndExit(String[] args, CommandMain<S> main) {
        CommandRunner.exit(run(List.of(args), System.getenv(), main));
    }

    /** As {@link #runAndExit}, but returns the exit code. */
    ExitCode run(List<String> args, Map<String, String> environment, CommandMain<S> main) {
        CommandOutcome<S> outcome = parse(args, environment);
        if (outcome instanceof CommandOutcome.Finished<S> finished) {
            return CommandRunner.print(finished);
        }
        S settings = ((CommandOutcome.Ready<S>) outcome).settings();
        return CommandRunner.run(mName, settings, main);
    }

    private CommandOutcome<S> usage(List<SettingFault> faults) {
        StringBuilder lines = new StringBuilder();
        for (SettingFault fault : faults) {
            lines.append(mName).append(": ").append(fault.line()).append('\n');
        }
        return new CommandOutcome.Finished<>(ExitCode.USAGE, "", lines.toString());
    }
}
