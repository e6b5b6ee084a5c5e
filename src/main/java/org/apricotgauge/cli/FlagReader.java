package org.apricotgauge.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Splits arguments into flags and their texts by Commons CLI, and gathers every fault. */
final class FlagReader {
    static final String HELP = "help";
    static final String VERSION = "version";
    static final String HELP_FLAG = "--" + HELP;
    static final String VERSION_FLAG = "--" + VERSION;

    private final Options mOptions = new Options();
    private final Map<String, List<String>> mTexts = new HashMap<>();
    private final List<SettingFault> mFaults = new ArrayList<>();

    private FlagReader(List<Setting<?>> settings) {
        mOptions.addOption(Option.builder().longOpt(HELP).get());
        mOptions.addOption(Option.builder().longOpt(VERSION).get());
        for (Setting<?> setting : settings) {
            mOptions.addOption(
                    Option.builder().longOpt(setting.name()).hasArg().optionalArg(true).get());
        }
    }

    /**
     * The flags as given.
     *
     * @param texts by the flag's name, one text for each time it was given
     * @param faults unknown flags and stray arguments
     */
    record Flags(Map<String, List<String>> texts, List<SettingFault> faults) {
        boolean isHelp() {
            return texts.containsKey(HELP);
        }

        boolean isVersion() {
            return texts.containsKey(VERSION);
        }
    }

    static Flags read(List<Setting<?>> settings, List<String> args) {
        FlagReader reader = new FlagReader(settings);
        List<String> rest = args;
        while (!rest.isEmpty()) {
            rest = reader.readUntilFault(rest);
        }
        return new Flags(Map.copyOf(reader.mTexts), List.copyOf(reader.mFaults));
    }

    /**
     * Reads up to the first argument that is no declared flag, and returns what follows it.
     *
     * <p>Commons CLI throws at the first unknown flag; the operator wants all faults in one run.
     */
    private List<String> readUntilFault(List<String> args) {
        CommandLine line = parse(args);
        for (Option option : line.getOptions()) {
            String value = option.getValue();
            mTexts.computeIfAbsent(option.getLongOpt(), name -> new ArrayList<>())
                    .add(value == null ? "" : value);
        }
        List<String> rest = line.getArgList();
        if (rest.isEmpty()) {
            return List.of();
        }
        String fault = rest.get(0);
        boolean isFlag = fault.startsWith("-");
        mFaults.add(
                isFlag
                        ? new SettingFault(nameOf(fault), "unknown flag; see --help")
                        : new SettingFault(fault, "unexpected argument; see --help"));
        boolean hasValue = isFlag && rest.size() > 1 && !rest.get(1).startsWith("-");
        return rest.subList(hasValue ? 2 : 1, rest.size());
    }

    private CommandLine parse(List<String> args) {
        DefaultParser parser = DefaultParser.builder().setAllowPartialMatching(false).get();
        try {
            return parser.parse(mOptions, args.toArray(String[]::new), true);
        } catch (ParseException e) {
            throw new IllegalStateException("no argument is required, yet: " + e, e);
        }
    }

    private static String nameOf(String flag) {
        return Arrays.asList(flag.split("=", 2)).get(0);
    }
}
