package org.apricotgauge.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.CommandCheck;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingFault;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.log.Logs;

/** Runs the targets of one VM until they are stopped. */
final class TargetsCommand {
    private static final int MAX_PORT = 65_535;
    private static final Setting<String> HOST =
            Setting.withDefault(
                    "host", SettingKinds.ipNumber(), "127.0.0.1", "IP number to listen at.");
    private static final Setting<List<String>> TARGETS =
            Setting.required("targets", SettingKinds.texts(), "Targets to run, each as ID=PORT.");
    private static final Setting<Integer> SLOTS =
            Setting.withDefault(
                    "slots",
                    SettingKinds.integer("requests", 1, 10_000),
                    3,
                    "Requests that each target runs at a time.");
    private static final Setting<Integer> SERVICE_MICROS =
            Setting.withDefault(
                    "service-micros",
                    SettingKinds.integer("microseconds", 0, 60_000_000),
                    5_000,
                    "Mean service time.");
    private static final Setting<Long> SEED =
            Setting.withDefault(
                    "seed",
                    SettingKinds.longInteger("number", 0, Long.MAX_VALUE),
                    1L,
                    "Seed of service times and faults.");

    /**
     * Settings of the targets.
     *
     * @param targets settings of each
     * @param log settings of the log
     */
    record Settings(List<TargetStandin.Settings> targets, LogSettings log) {

        static Settings of(SettingValues values) {
            List<TargetStandin.Settings> targets = new ArrayList<>();
            for (String target : values.get(TARGETS)) {
                String[] parts = target.split("=", 2);
                targets.add(
                        new TargetStandin.Settings(
                                parts[0],
                                values.get(HOST),
                                Integer.parseInt(parts[1]),
                                values.get(SLOTS),
                                values.get(SERVICE_MICROS),
                                values.get(SEED) + targets.size()));
            }
            return new Settings(List.copyOf(targets), LogSettings.of(values));
        }
    }

    private TargetsCommand() {}

    static Command<Settings> command() {
        List<Setting<?>> declared =
                new ArrayList<>(List.of(HOST, TARGETS, SLOTS, SERVICE_MICROS, SEED));
        declared.addAll(LogSettings.declared());
        return new Command<>(
                "apricotgauge-standin targets",
                "Runs the targets of one VM, with faults on demand.",
                declared,
                Settings::of,
                wellFormedTargets());
    }

    private static CommandCheck wellFormedTargets() {
        return values ->
                values.get(TARGETS).stream()
                        .filter(target -> !isWellFormed(target))
                        .map(target -> SettingFault.notAllowed(TARGETS, target))
                        .toList();
    }

    private static boolean isWellFormed(String target) {
        if (!target.matches("[A-Za-z0-9][A-Za-z0-9._-]*=[0-9]{1,5}")) {
            return false;
        }
        int port = Integer.parseInt(target.substring(target.indexOf('=') + 1));
        return port >= 1 && port <= MAX_PORT;
    }

    static ExitCode run(Settings settings) throws IOException, InterruptedException {
        Logs.configure(settings.log());
        for (TargetStandin.Settings target : settings.targets()) {
            TargetStandin.start(target);
        }
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }
}
