package org.apricotgauge.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.log.Logs;
import org.apricotgauge.model.Address;

/** Runs the older routing system's stand-in until it is stopped. */
final class PredecessorCommand {
    private static final Setting<String> HOST =
            Setting.withDefault(
                    "host", SettingKinds.ipNumber(), "127.0.0.1", "IP number to listen at.");
    private static final Setting<Integer> PORT =
            Setting.required("port", SettingKinds.port(), "Port to listen at.");
    private static final Setting<List<Address>> TARGETS =
            Setting.required("targets", SettingKinds.addresses(), "Targets that it forwards to.");

    /**
     * Settings of the stand-in.
     *
     * @param host IP number to listen at
     * @param port port to listen at
     * @param targets where it forwards to
     * @param log settings of the log
     */
    record Settings(String host, int port, List<Address> targets, LogSettings log) {

        static Settings of(SettingValues values) {
            return new Settings(
                    values.get(HOST),
                    values.get(PORT),
                    values.get(TARGETS),
                    LogSettings.of(values));
        }
    }

    private PredecessorCommand() {}

    static Command<Settings> command() {
        List<Setting<?>> declared = new ArrayList<>(List.of(HOST, PORT, TARGETS));
        declared.addAll(LogSettings.declared());
        return new Command<>(
                "apricotgauge-standin predecessor",
                "Runs an older routing system in front of the same targets.",
                declared,
                Settings::of);
    }

    static ExitCode run(Settings settings) throws InterruptedException {
        Logs.configure(settings.log());
        PredecessorStandin.start(settings.host(), settings.port(), settings.targets());
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }
}
