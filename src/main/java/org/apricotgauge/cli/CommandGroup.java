package org.apricotgauge.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apricotgauge.model.Checks;

/**
 * A program whose first argument picks one of several commands.
 *
 * <pre>{@code
 * public static void main(String[] args) {
 *     new CommandGroup("apricotgauge-standin", "Stand-ins for tests.")
 *             .with("target", TARGET_COMMAND, TargetStandin::run)
 *             .with("platform", PLATFORM_COMMAND, PlatformStandin::run)
 *             .runAndExit(args);
 * }
 * // apricotgauge-standin target --port 9000
 * }</pre>
 *
 * <p>Immutable and safe to share.
 */
public final class CommandGroup {
    private final String mName;
    private final String mSummary;
    private final Map<String, Bound<?>> mCommands;

    /** Creates a program without commands. */
    public CommandGroup(String name, String summary) {
        this(Checks.notBlank("name", name), Checks.notBlank("summary", summary), Map.of());
    }

    private CommandGroup(String name, String summary, Map<String, Bound<?>> commands) {
        mName = name;
        mSummary = summary;
        mCommands = commands;
    }

    /**
     * Returns this program with one command more.
     *
     * @throws IllegalArgumentException if it has a command of that word
     */
    public <S> CommandGroup with(String word, Command<S> command, CommandMain<S> main) {
        Checks.id("word", word);
        Map<String, Bound<?>> commands = new LinkedHashMap<>(mCommands);
        if (commands.put(word, new Bound<>(command, main)) != null) {
            throw new IllegalArgumentException(word + " is declared twice");
        }
        return new CommandGroup(mName, mSummary, commands);
    }

    /** Picks the command by the first argument, runs it with the others, and exits. */
    public void runAndExit(String[] args) {
        CommandRunner.exit(run(List.of(args), System.getenv()));
    }

    /** As {@link #runAndExit}, but returns the exit code. */
    ExitCode run(List<String> args, Map<String, String> environment) {
        String word = args.isEmpty() ? "" : args.get(0);
        Bound<?> command = mCommands.get(word);
        if (command != null) {
            return command.run(args.subList(1, args.size()), environment);
        }
        return CommandRunner.print(withoutCommand(word));
    }

    private CommandOutcome.Finished<Object> withoutCommand(String word) {
        if (word.equals(FlagReader.HELP_FLAG)) {
            return new CommandOutcome.Finished<>(ExitCode.OK, help(), "");
        }
        if (word.equals(FlagReader.VERSION_FLAG)) {
            String version = mName + ' ' + ProductVersion.text() + '\n';
            return new CommandOutcome.Finished<>(ExitCode.OK, version, "");
        }
        String allowed = "one of " + String.join(", ", mCommands.keySet());
        SettingFault fault = SettingFault.notAllowed("command", word, allowed);
        return new CommandOutcome.Finished<>(
                ExitCode.USAGE, "", mName + ": " + fault.line() + '\n');
    }

    private String help() {
        StringBuilder text = new StringBuilder();
        text.append("usage: ").append(mName).append(" command [flags]\n").append(mSummary);
        text.append("\n\nCommands (each has a --help of its own):\n");
        mCommands.forEach(
                (word, bound) ->
                        text.append(
                                String.format("  %-12s %s%n", word, bound.command().summary())));
        return text.toString();
    }

    private record Bound<S>(Command<S> command, CommandMain<S> main) {
        ExitCode run(List<String> args, Map<String, String> environment) {
            return command.run(args, environment, main);
        }
    }
}
