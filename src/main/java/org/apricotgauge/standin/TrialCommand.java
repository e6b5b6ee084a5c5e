package org.apricotgauge.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apricotgauge.cli.Command;
import org.apricotgauge.cli.ExitCode;
import org.apricotgauge.cli.Setting;
import org.apricotgauge.cli.SettingKinds;
import org.apricotgauge.cli.SettingValues;
import org.apricotgauge.log.LogSettings;
import org.apricotgauge.log.Logs;
import org.apricotgauge.model.Address;

/**
 * Loads a running fleet, makes a target fail gray on the way, and judges what callers were told.
 */
final class TrialCommand {
    private static final Setting<List<Address>> ENTRIES =
            Setting.required("entries", SettingKinds.addresses(), "Caller ports of the nodes.");
    private static final Setting<List<Address>> TARGETS =
            Setting.required(
                    "targets", SettingKinds.addresses(), "All targets; asked what ran at the end.");
    private static final Setting<List<Address>> DIRECT =
            Setting.withDefault(
                    "direct",
                    SettingKinds.addresses(),
                    List.of(),
                    "Targets of the GET path that a second, smaller load reaches directly.");
    private static final Setting<Optional<Address>> GRAY =
            Setting.optional("gray-target", SettingKinds.address(), "Target that falls ill.");
    private static final Setting<Integer> GRAY_AFTER =
            Setting.withDefault(
                    "gray-after-seconds",
                    SettingKinds.integer("seconds", 0, 3_600),
                    5,
                    "When it falls ill.");
    private static final Setting<Integer> GRAY_ERRORS =
            Setting.withDefault(
                    "gray-error-percent",
                    SettingKinds.integer("percent", 0, 100),
                    60,
                    "Share of its work that it then answers with 500.");
    private static final Setting<Double> GRAY_SLOW =
            Setting.withDefault(
                    "gray-slow-factor",
                    SettingKinds.decimal("factor", 1, 10_000),
                    4.0,
                    "How many times longer its work then takes.");
    private static final Setting<List<Address>> KILLED =
            Setting.withDefault(
                    "killed-entries",
                    SettingKinds.addresses(),
                    List.of(),
                    "Entries that are killed on the way; only there may connections break.");
    private static final Setting<Integer> RATE =
            Setting.withDefault(
                    "rate",
                    SettingKinds.integer("requests per second", 1, 200_000),
                    200,
                    "Requests started each second.");
    private static final Setting<Integer> SECONDS =
            Setting.withDefault(
                    "seconds",
                    SettingKinds.integer("seconds", 1, 3_600),
                    25,
                    "Length of the load.");
    private static final Setting<Integer> ORDERS =
            Setting.withDefault(
                    "order-percent",
                    SettingKinds.integer("percent", 0, 100),
                    30,
                    "Share of requests that must not run twice.");
    private static final Setting<String> READ_PATH =
            Setting.withDefault(
                    "read-path", SettingKinds.text(), "/lessons/today", "Path of GET requests.");
    private static final Setting<String> ORDER_PATH =
            Setting.withDefault(
                    "order-path", SettingKinds.text(), "/bookings", "Path of POST requests.");
    private static final Setting<Long> TIMEOUT =
            Setting.withDefault(
                    "timeout-millis",
                    SettingKinds.millis(1, 600_000),
                    10_000L,
                    "Longest wait of a caller for an answer.");

    /**
     * Settings of a trial.
     *
     * @param plan load through the fleet
     * @param targets all targets
     * @param direct targets of the direct load
     * @param gray target that falls ill
     * @param grayAfterSeconds when it does
     * @param fault what is then wrong with it
     * @param killed entries that are killed on the way
     * @param log settings of the log
     */
    record Settings(
            LoadPlan plan,
            List<Address> targets,
            List<Address> direct,
            Optional<Address> gray,
            int grayAfterSeconds,
            Fault fault,
            List<Address> killed,
            LogSettings log) {

        static Settings of(SettingValues values) {
            LoadPlan plan =
                    new LoadPlan(
                            values.get(ENTRIES),
                            values.get(RATE),
                            values.get(SECONDS),
                            values.get(ORDERS),
                            values.get(READ_PATH),
                            values.get(ORDER_PATH),
                            200,
                            values.get(TIMEOUT));
            Fault fault = new Fault(values.get(GRAY_ERRORS), 0, values.get(GRAY_SLOW), 0, 0);
            return new Settings(
                    plan,
                    values.get(TARGETS),
                    values.get(DIRECT),
                    values.get(GRAY),
                    values.get(GRAY_AFTER),
                    fault,
                    values.get(KILLED),
                    LogSettings.of(values));
        }
    }

    private TrialCommand() {}

    static Command<Settings> command() {
        List<Setting<?>> declared = new ArrayList<>();
        declared.addAll(List.of(ENTRIES, TARGETS, DIRECT, GRAY, GRAY_AFTER));
        declared.addAll(List.of(GRAY_ERRORS, GRAY_SLOW, RATE, SECONDS, ORDERS));
        declared.addAll(List.of(READ_PATH, ORDER_PATH, TIMEOUT, KILLED));
        declared.addAll(LogSettings.declared());
        return new Command<>(
                "apricotgauge-standin trial",
                "Loads a fleet and judges what its callers were told.",
                declared,
                Settings::of);
    }

    static ExitCode run(Settings settings) throws IOException, InterruptedException {
        Logs.configure(settings.log());
        TrialResult result = new Trial(settings).run();
        System.out.print(result.table());
        return result.isSound() ? ExitCode.OK : ExitCode.NEGATIVE;
    }
}
